//! Answers to clients, and what becomes of their connections behind them.

use crate::wire;
use aspendrum_core::api::Millis;
use aspendrum_net::http1::Response;

/// When a client may come again where nothing is known that says when.
pub(crate) const DEFAULT_RETRY_AFTER: Millis = 150.0;

/// Whether a connection is closed behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPolicy {
    /// Only where the proxy drains, or has too many connections.
    KeepAlive,
    /// If the client has not sent another request ahead.
    CloseIfIdle,
    /// The client asked for it: nothing more is read (RFC 9112, 9.6).
    Close,
}

/// An answer to a client.
pub struct ClientResponse {
    content: Content,
    policy: ConnectionPolicy,
}

enum Content {
    /// Of the proxy itself. `retry_after`: when the client may come again.
    Generated {
        status: u16,
        try_id: String,
        retry_after: Option<Millis>,
    },
    /// A server's answer, under that status.
    Forwarded { response: Response, status: u16 },
    /// The client has left.
    Empty,
}

impl ClientResponse {
    /// An answer of the proxy itself. `retry_after`: when the client may come again, in milliseconds.
    pub fn generated(
        status: u16,
        try_id: &str,
        retry_after: Option<Millis>,
        policy: ConnectionPolicy,
    ) -> ClientResponse {
        let content = Content::Generated {
            status,
            try_id: try_id.to_string(),
            retry_after,
        };
        ClientResponse { content, policy }
    }

    /// For a request that did not run, and that another proxy may take.
    pub(crate) fn send_elsewhere(try_id: &str) -> ClientResponse {
        let policy = ConnectionPolicy::CloseIfIdle;
        ClientResponse::generated(503, try_id, Some(DEFAULT_RETRY_AFTER), policy)
    }

    /// A server's answer, under that status.
    pub fn forwarded(response: Response, status: u16, policy: ConnectionPolicy) -> ClientResponse {
        ClientResponse {
            content: Content::Forwarded { response, status },
            policy,
        }
    }

    /// For a client that has left.
    pub fn empty() -> ClientResponse {
        ClientResponse {
            content: Content::Empty,
            policy: ConnectionPolicy::Close,
        }
    }

    /// Whether the connection is closed behind it. `wants_close`: the proxy drains, or has too many connections;
    /// `is_pipelined`: more of the client's has come, which is answered first.
    pub fn closes_connection(&self, wants_close: bool, is_pipelined: bool) -> bool {
        match self.policy {
            ConnectionPolicy::Close => true,
            ConnectionPolicy::CloseIfIdle => !is_pipelined,
            ConnectionPolicy::KeepAlive => wants_close && !is_pipelined,
        }
    }

    /// Its bytes. `closes`: it announces the end of the connection.
    pub fn encode(&self, closes: bool) -> Vec<u8> {
        match &self.content {
            Content::Generated {
                status,
                try_id,
                retry_after,
            } => wire::encode_generated(*status, try_id, *retry_after, closes),
            Content::Forwarded { response, status } => {
                wire::encode_forwarded(response, *status, closes)
            }
            Content::Empty => Vec::new(),
        }
    }
}
