//! Reads the platform's list of servers, page after page.

use crate::errors::PlatformError;
use aspendrum_model::servers::{self, ServerInstance};
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_client::HttpClient;
use std::time::{Duration, Instant};

/// The limits on the response that carries one page.
pub const PAGE_LIMITS: MessageLimits = MessageLimits {
    head_bytes: 8 << 10,
    body_bytes: 4 << 20,
};
/// The time-out of reading the whole list. A page takes a round trip; after a time-out the list is read from its
/// beginning again.
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reads the whole list.
///
/// # Errors
/// The platform does not answer in time, or some page cannot be read.
pub fn read_server_list(platform: &mut HttpClient) -> Result<Vec<ServerInstance>, PlatformError> {
    let deadline = Instant::now() + LIST_TIMEOUT;
    let mut list = Vec::new();
    let mut path = "/servers".to_string();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let response = platform.call("GET", &path, b"", remaining);
        let response = response.map_err(PlatformError::Unanswered)?;
        if response.status != 200 {
            return Err(PlatformError::Status(response.status));
        }
        let page = servers::parse_page(&response.body);
        let page = page.map_err(PlatformError::InvalidPage)?;
        list.extend(page.servers);
        let Some(token) = page.next_page else {
            return Ok(list);
        };
        path = format!("/servers?page-tok={token}");
    }
}
