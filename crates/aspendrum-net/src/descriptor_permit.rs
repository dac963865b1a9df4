//! Counts the file descriptors used by the connections of a pool.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A permit for one file descriptor, counted until it is dropped.
pub(crate) struct DescriptorPermit {
    open: Arc<AtomicUsize>,
}

impl DescriptorPermit {
    /// Creates a permit that is counted in `open`.
    pub(crate) fn new(open: &Arc<AtomicUsize>) -> DescriptorPermit {
        open.fetch_add(1, Ordering::Relaxed);
        DescriptorPermit { open: open.clone() }
    }

    /// Creates a permit that no pool counts.
    pub(crate) fn uncounted() -> DescriptorPermit {
        DescriptorPermit::new(&Arc::default())
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
