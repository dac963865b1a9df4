//! Reads the platform's paginated list of servers.

use crate::errors::PlatformError;
use aspendrum_model::servers::{self, ServerInstance};
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_client::HttpClient;
use std::time::{Duration, Instant};

/// The size limits of the response with one page.
pub const PAGE_LIMITS: MessageLimits = MessageLimits {
    head_bytes: 8 << 10,
    body_bytes: 4 << 20,
};
/// The timeout for reading the whole list. Each page takes one round trip; after a timeout the next poll starts again
/// with the first page.
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reads all pages of the list, which may have `max_bytes` bytes together.
///
/// # Errors
/// Returns an error if the platform does not respond in time, responds with a status other than 200, or sends a page
/// that cannot be parsed or pages that are too long together.
pub fn read_server_list(
    platform: &mut HttpClient,
    max_bytes: usize,
) -> Result<Vec<ServerInstance>, PlatformError> {
    let deadline = Instant::now() + LIST_TIMEOUT;
    let mut list = Vec::new();
    let mut list_bytes = 0;
    let mut path = "/servers".to_string();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let response = platform.call("GET", &path, b"", remaining);
        let response = response.map_err(PlatformError::NoResponse)?;
        if response.status != 200 {
            return Err(PlatformError::Status(response.status));
        }
        list_bytes += response.body.len();
        if list_bytes > max_bytes {
            return Err(PlatformError::ListTooLong(max_bytes));
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
