//! Answers to clients, and what becomes of their connections behind them.

use crate::wire;
use aspendrum_core::api::Millis;
use aspendrum_net::http1::Response;

/// Whether a connection ends behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// Only where the proxy ends, or has too many of them.
    KeepsOn,
    /// If the client has sent nothing ahead.
    EndsIdle,
    /// The client asked for it: nothing more is read (RFC 9112, 9.6).
    Ends,
}

/// An answer to a client.
pub struct Answer {
    said: Said,
    then: Then,
}

enum Said {
    /// An answer of our own. `again`: when the client may come again.
    Own {
        status: u16,
        id: String,
        again: Option<Millis>,
    },
    /// A server's answer, under that status.
    Server { response: Response, status: u16 },
    /// The client has left.
    Nothing,
}

impl Answer {
    pub fn own(status: u16, id: &str, again: Option<Millis>, then: Then) -> Answer {
        Answer {
            said: Said::Own {
                status,
                id: id.to_string(),
                again,
            },
            then,
        }
    }

    pub fn passed_on(response: Response, status: u16, then: Then) -> Answer {
        Answer {
            said: Said::Server { response, status },
            then,
        }
    }

    /// For a client that has left.
    pub fn nothing() -> Answer {
        Answer {
            said: Said::Nothing,
            then: Then::Ends,
        }
    }

    /// Whether the connection ends behind it. `leaving`: the proxy ends, or has too many; `ahead`: more of the client's
    /// has come, which is answered before.
    pub fn closes(&self, leaving: bool, ahead: bool) -> bool {
        match self.then {
            Then::Ends => true,
            Then::EndsIdle => !ahead,
            Then::KeepsOn => leaving && !ahead,
        }
    }

    /// Its bytes. `close`: it announces the end of the connection.
    pub fn bytes(&self, close: bool) -> Vec<u8> {
        match &self.said {
            Said::Own { status, id, again } => wire::own(*status, id, *again, close),
            Said::Server { response, status } => wire::reply(response, *status, close),
            Said::Nothing => Vec::new(),
        }
    }
}
