//! What the desk is told.

use crate::words::Between;
use aspendrum_consensus::{Order, Outcome, Place};
use aspendrum_model::news::Up;
use aspendrum_model::servers::Server;
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::Link;
use crossbeam_channel::Sender;
use serde_json::Value;
use std::time::Instant;

pub enum Note {
    Heard {
        from: Place,
        said: Between,
    },
    Reached {
        place: Place,
        link: Option<Link>,
    },
    Agent {
        id: u64,
        link: Link,
    },
    AgentSaid {
        id: u64,
        said: Up,
    },
    AgentGone {
        id: u64,
    },
    Order {
        order: Order,
        answer: Sender<Outcome>,
    },
    /// What is known of nodes, or what each version does with a request for that host and path.
    Told {
        of: Option<(String, String)>,
        answer: Sender<Value>,
    },
    Polled {
        asked: Instant,
        list: Result<Vec<Server>, String>,
    },
    Settings(Box<Settings>),
}
