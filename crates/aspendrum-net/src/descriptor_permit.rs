//! The count of descriptors that a pool's connections hold.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The right to hold one descriptor; it is counted until it is dropped.
pub(crate) struct DescriptorPermit {
    open: Arc<AtomicUsize>,
}

impl DescriptorPermit {
    /// Takes a permit and counts it in `open`.
    pub(crate) fn new(open: &Arc<AtomicUsize>) -> DescriptorPermit {
        open.fetch_add(1, Ordering::Relaxed);
        DescriptorPermit { open: open.clone() }
    }

    /// A permit that no pool counts.
    pub(crate) fn uncounted() -> DescriptorPermit {
        DescriptorPermit::new(&Arc::default())
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
