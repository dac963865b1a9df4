//! Responses to clients.

use super::status::reason_phrase;
use aspendrum_core::api::Millis;
use aspendrum_core::settings::MILLIS_PER_SECOND;
use aspendrum_net::ring_buffer::RingBuffer;
use std::io::Write;

/// A response to a client.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientResponse<'a> {
    /// The status code.
    pub status: u16,
    /// The time after which the client may retry, in milliseconds.
    pub retry_after: Option<Millis>,
    /// Whether the connection is closed after the response.
    pub close: bool,
    /// The media type of the body; may be empty.
    pub content_type: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

impl ClientResponse<'_> {
    /// Creates a response without a body, after which the connection stays open.
    pub fn empty(status: u16) -> ClientResponse<'static> {
        ClientResponse {
            status,
            ..ClientResponse::default()
        }
    }

    /// Creates a response without a body, after which the connection is closed.
    pub fn closing(status: u16) -> ClientResponse<'static> {
        ClientResponse {
            status,
            close: true,
            ..ClientResponse::default()
        }
    }

    /// Writes the complete response. Returns false if the buffer is too small.
    pub fn write(&self, out: &mut RingBuffer) -> bool {
        let reason = reason_phrase(self.status);
        let body_bytes = self.body.len();
        write!(
            out,
            "HTTP/1.1 {} {reason}\r\nContent-Length: {body_bytes}\r\n",
            self.status
        )
        .is_ok()
            && self.write_fields(out)
            && out.append(b"\r\n")
            && out.append(self.body)
    }

    fn write_fields(&self, out: &mut RingBuffer) -> bool {
        let write_retry_after = |out: &mut RingBuffer, time: Millis| {
            write!(out, "Retry-After: {:.3}\r\n", time / MILLIS_PER_SECOND).is_ok()
        };
        self.retry_after
            .is_none_or(|time| write_retry_after(out, time))
            && (!self.close || out.append(b"Connection: close\r\n"))
            && (self.content_type.is_empty() || self.write_content_type(out))
    }

    fn write_content_type(&self, out: &mut RingBuffer) -> bool {
        out.append(b"Content-Type: ") && out.append(self.content_type) && out.append(b"\r\n")
    }
}
