//! One direction of a path between two processes, with its faults and traffic counts.

use crate::fault::Fault;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use tokio::sync::watch;

/// The traffic of a link so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkStats {
    /// The number of delivered datagrams or stream chunks.
    pub messages: u64,
    /// The size of the delivered datagrams or chunks, in bytes.
    pub bytes: u64,
    /// The number of lost datagrams. Streams lose nothing.
    pub lost: u64,
    /// The number of datagrams that are currently delayed.
    pub in_flight: u64,
}

/// A fault with the id by which it can be cleared.
struct ActiveFault {
    id: u32,
    fault: Fault,
}

/// All active faults of a link, and their combination.
#[derive(Default)]
struct ActiveFaults {
    active: Vec<ActiveFault>,
    combined: Fault,
}

/// One direction of a path.
#[derive(Default)]
pub struct Link {
    faults: watch::Sender<ActiveFaults>,
    /// The number of resets. Each one ends all connections.
    resets: watch::Sender<u64>,
    messages: AtomicU64,
    bytes: AtomicU64,
    lost: AtomicU64,
    in_flight: AtomicU64,
}

impl Link {
    /// Creates a link without faults.
    pub(crate) fn healthy() -> Arc<Link> {
        Arc::default()
    }

    /// Adds a fault. It replaces an active fault with the same id.
    pub fn set_fault(&self, id: u32, fault: Fault) {
        self.change(|active| {
            active.retain(|other| other.id != id);
            active.push(ActiveFault { id, fault });
        });
    }

    /// Clears the fault with that id; others remain active.
    pub fn clear_fault(&self, id: u32) {
        self.change(|active| active.retain(|fault| fault.id != id));
    }

    fn change(&self, change: impl FnOnce(&mut Vec<ActiveFault>)) {
        self.faults.send_modify(|faults| {
            change(&mut faults.active);
            let healthy = Fault::default();
            let combine = |sum: Fault, active: &ActiveFault| sum.combined_with(active.fault);
            faults.combined = faults.active.iter().fold(healthy, combine);
        });
    }

    /// Resets all connections over this link.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Returns a receiver that changes with each reset.
    pub(crate) fn subscribe_resets(&self) -> watch::Receiver<u64> {
        self.resets.subscribe()
    }

    /// Returns the combination of all active faults.
    pub fn fault(&self) -> Fault {
        self.faults.borrow().combined
    }

    /// Returns the traffic so far.
    pub fn stats(&self) -> LinkStats {
        LinkStats {
            messages: self.messages.load(Relaxed),
            bytes: self.bytes.load(Relaxed),
            lost: self.lost.load(Relaxed),
            in_flight: self.in_flight.load(Relaxed),
        }
    }

    pub(crate) fn record_delivery(&self, bytes: usize) {
        self.messages.fetch_add(1, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }

    pub(crate) fn record_loss(&self) {
        self.lost.fetch_add(1, Relaxed);
    }

    pub(crate) fn begin_delay(&self) {
        self.in_flight.fetch_add(1, Relaxed);
    }

    pub(crate) fn end_delay(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Waits until the link is not cut.
    pub(crate) async fn wait_until_open(&self) {
        // The sender lives as long as the link, so this cannot fail, here and below.
        let _ = self
            .faults
            .subscribe()
            .wait_for(|faults| !faults.combined.is_cut)
            .await;
    }

    /// Waits until the link is cut.
    pub(crate) async fn wait_until_cut(&self) {
        let _ = self
            .faults
            .subscribe()
            .wait_for(|faults| faults.combined.is_cut)
            .await;
    }
}
