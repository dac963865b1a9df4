//! Reads the platform's list of servers, page after page.

use aspendrum_model::servers::{self, ServerInstance};
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_client::HttpClient;
use std::time::{Duration, Instant};

pub const BOUNDS: MessageLimits = MessageLimits {
    head_bytes: 8 << 10,
    body_bytes: 4 << 20,
};
/// For a whole list: a page is answered in a round trip, and a list that takes longer is read anew.
const WAIT: Duration = Duration::from_millis(1500);

/// The whole list, or why there is none.
pub fn list(platform: &mut HttpClient) -> Result<Vec<ServerInstance>, String> {
    let until = Instant::now() + WAIT;
    let (mut all, mut token) = (Vec::new(), None::<String>);
    loop {
        let query = token
            .as_ref()
            .map_or(String::new(), |t| format!("?page-tok={t}"));
        let left = until.saturating_duration_since(Instant::now());
        let answer = platform
            .call("GET", &format!("/servers{query}"), b"", left)
            .map_err(|e| e.to_string())?;
        if answer.status != 200 {
            return Err(format!("status {}", answer.status));
        }
        let page = servers::parse_page(&answer.body).map_err(|e| e.to_string())?;
        all.extend(page.servers);
        token = page.next_page;
        if token.is_none() {
            return Ok(all);
        }
    }
}
