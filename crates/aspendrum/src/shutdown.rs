//! The signals, and a planned end: connections are taken in for as long as they may come, everything taken is
//! answered, each answer closes its connection, and then idle connections are closed.

use crate::clients::Room;
use crate::Shop;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::atomic::Ordering;
use std::thread::sleep;

/// What the operator wants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wanted {
    End,
    /// The configuration has been replaced.
    Reload,
}

/// The signals. Asked for before anything else, so that none comes too early: one that nobody has asked for
/// ends the program with all that it holds.
pub struct Told(Signals);

impl Told {
    pub fn expect() -> std::io::Result<Told> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(Told)
    }

    pub fn wait(&mut self) -> Wanted {
        match self.0.forever().next() {
            Some(SIGHUP) => Wanted::Reload,
            _ => Wanted::End,
        }
    }
}

/// Returns once nothing is left to answer. Never gives up on a query: whoever started us may.
pub fn drain(shop: &Shop) {
    let limits = &shop.limits;
    let begun = shop.age();
    shop.drain();
    let [open, fresh] = [limits.drain_open, limits.fresh].map(|wait| wait.as_millis() as u64);
    loop {
        let now = shop.age();
        let quiet = now.saturating_sub(shop.accepted.load(Ordering::Relaxed)) >= fresh;
        if now - begun >= open {
            // Between queries a close is allowed; a client whose query crosses it sends that again.
            while shop.clients.close_one(shop) == Room::Made {}
            if quiet && shop.clients.count() == 0 {
                return;
            }
        }
        sleep(limits.drain_step);
    }
}
