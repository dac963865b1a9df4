//! What the desk is told.

use aspendrum_gossip::GossipMessage;
use aspendrum_model::message::{FromControl, StateSection, ToControl};
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::Link;
use crossbeam_channel::Sender;
use std::net::Ipv4Addr;

pub(crate) enum Note {
    Control {
        id: u64,
        ip: Ipv4Addr,
        link: Link,
    },
    Said {
        id: u64,
        said: FromControl,
    },
    ControlLost {
        id: u64,
    },
    Proxy {
        id: u64,
        link: Link,
    },
    ProxySaid {
        id: u64,
        said: ToControl,
    },
    ProxyLost {
        id: u64,
    },
    /// A datagram of another agent.
    Neighbour {
        from: Ipv4Addr,
        word: GossipMessage,
    },
    /// Another agent wants a snapshot, as frames.
    Borrower(Sender<Vec<u8>>),
    /// Part of a neighbour's snapshot.
    Lent(StateSection),
    Settings(Box<Settings>),
    /// The process is told to end; `done` hears when its proxy needs it no more.
    Leave {
        done: Sender<()>,
    },
}
