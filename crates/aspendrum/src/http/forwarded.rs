//! Requests to servers and to discovery.

use super::fields::REMAINING;
use super::request::ClientRequest;
use aspendrum_core::api::Millis;
use aspendrum_net::ring_buffer::RingBuffer;
use std::io::Write;

/// The path of a health check without a load report.
pub const HEALTH_CHECK_PATH: &str = "/health/live";
/// The path of a health check whose response reports the server's load.
pub const LOAD_REPORT_PATH: &str = "/stats";
/// The `Host` header of requests that the limiter sends on its own.
const SERVER_HOST: &str = "origin.svc";
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

impl ClientRequest {
    /// Writes the forwarded request, with the remaining time of its client. Returns false if the buffer is too small.
    pub fn write_forwarded(&self, remaining: Millis, out: &mut RingBuffer) -> bool {
        let remaining_us = (remaining * MICROSECONDS_PER_MILLISECOND).max(1.0) as u64;
        let body_bytes = self.body.len();
        let has_length = body_bytes > 0 || self.is_write;
        out.append(&self.forwarded_head)
            && write!(out, "{REMAINING}: {remaining_us}u\r\n").is_ok()
            && (!has_length || write!(out, "Content-Length: {body_bytes}\r\n").is_ok())
            && out.append(b"\r\n")
            && out.append(&self.body)
    }
}

/// Writes a GET request. Returns false if the buffer is too small.
pub fn write_get(out: &mut RingBuffer, path: &str) -> bool {
    write!(out, "GET {path} HTTP/1.1\r\nHost: {SERVER_HOST}\r\n\r\n").is_ok()
}
