//! One direction of a path between two processes: its faults, and what it has carried.

use crate::fault::Fault;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use tokio::sync::watch;

/// What a link has carried so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkStats {
    /// Datagrams, or chunks of a stream.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Datagrams that were lost; streams lose nothing.
    pub lost: u64,
    /// Datagrams that are being delayed now.
    pub in_flight: u64,
}

/// A fault, and the id under which it can be cleared.
struct ActiveFault {
    id: u32,
    fault: Fault,
}

/// All faults of a link, and their combination.
#[derive(Default)]
struct ActiveFaults {
    active: Vec<ActiveFault>,
    combined: Fault,
}

/// One direction of a path.
#[derive(Default)]
pub struct Link {
    faults: watch::Sender<ActiveFaults>,
    /// Counts the resets: each ends all connections.
    resets: watch::Sender<u64>,
    messages: AtomicU64,
    bytes: AtomicU64,
    lost: AtomicU64,
    in_flight: AtomicU64,
}

impl Link {
    /// A link without faults.
    pub(crate) fn healthy() -> Arc<Link> {
        Arc::default()
    }

    /// Sets a fault, beside the others; it replaces one of the same id.
    pub fn set_fault(&self, id: u32, fault: Fault) {
        self.change(|active| {
            active.retain(|other| other.id != id);
            active.push(ActiveFault { id, fault });
        });
    }

    /// Clears the fault of that id; others remain.
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

    /// Resets the connections that go over it.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Changes with each reset.
    pub(crate) fn subscribe_resets(&self) -> watch::Receiver<u64> {
        self.resets.subscribe()
    }

    /// All its faults now, combined.
    pub fn fault(&self) -> Fault {
        self.faults.borrow().combined
    }

    /// What it has carried so far.
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

    /// Returns once it is not cut.
    pub(crate) async fn wait_until_open(&self) {
        // The sender lives as long as the link, so that this does not fail, here and below.
        let _ = self
            .faults
            .subscribe()
            .wait_for(|faults| !faults.combined.is_cut)
            .await;
    }

    /// Returns once it is cut.
    pub(crate) async fn wait_until_cut(&self) {
        let _ = self
            .faults
            .subscribe()
            .wait_for(|faults| faults.combined.is_cut)
            .await;
    }
}
