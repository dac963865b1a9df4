//! A planned end: connections are taken in for as long as they may come, everything taken is answered, each
//! answer closes its connection, and then idle connections are closed.

use crate::Shop;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::atomic::Ordering;
use std::thread::sleep;

/// The signals to end. Asked for before anything else, so that none comes too early.
pub struct End(Signals);

impl End {
    pub fn expect() -> std::io::Result<End> {
        Signals::new([SIGTERM, SIGINT]).map(End)
    }

    pub fn wait(&mut self) {
        self.0.forever().next();
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
            while shop.clients.close_idle(shop) {}
            if quiet && shop.clients.count() == 0 {
                return;
            }
        }
        sleep(limits.drain_step);
    }
}
