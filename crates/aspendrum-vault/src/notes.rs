//! What the desk is told.

use crate::words::Between;
use aspendrum_accession::{Order, Outcome, Place};
use aspendrum_catalog::news::Up;
use aspendrum_catalog::servers::Server;
use aspendrum_catalog::settings::Settings;
use aspendrum_folio::frames::Link;
use crossbeam_channel::Sender;
use std::time::Instant;

pub enum Note {
    Heard { from: Place, said: Between },
    Reached { place: Place, link: Option<Link> },
    Agent { id: u64, link: Link },
    AgentSaid { id: u64, said: Up },
    AgentGone { id: u64 },
    Order { order: Order, answer: Sender<Outcome> },
    Polled { asked: Instant, list: Result<Vec<Server>, String> },
    Settings(Box<Settings>),
}
