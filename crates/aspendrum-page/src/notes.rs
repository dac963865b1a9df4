//! What the desk is told.

use aspendrum_catalog::news::{Down, Up};
use aspendrum_catalog::settings::Settings;
use aspendrum_folio::frames::Link;
use std::net::Ipv4Addr;

pub enum Note {
    Control { id: u64, ip: Ipv4Addr, link: Link },
    Said { id: u64, said: Down },
    ControlLost { id: u64 },
    Proxy { id: u64, link: Link },
    ProxySaid { id: u64, said: Up },
    ProxyLost { id: u64 },
    Settings(Box<Settings>),
}
