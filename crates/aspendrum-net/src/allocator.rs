//! Settings of the C library's allocator, which by default keeps much of the memory that a program frees.

use std::ffi::c_int;

/// The size from which an allocation has pages of its own, which are returned to the system when it is freed. A fixed
/// value keeps the allocator from raising it, up to 32 MB, when such allocations are freed.
const MMAP_THRESHOLD_BYTES: c_int = 128 << 10;
/// The free memory at the end of a heap above which it is returned to the system.
const TRIM_THRESHOLD_BYTES: c_int = 128 << 10;
/// The number of heaps. By default there are eight for each core, each with free memory of its own.
const MAX_HEAPS: c_int = 2;

/// Makes the allocator return freed memory to the system. Must be called before threads are started.
pub fn return_freed_memory() {
    #[cfg(target_env = "gnu")]
    for (parameter, value) in [
        (libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES),
        (libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
        (libc::M_ARENA_MAX, MAX_HEAPS),
    ] {
        // SAFETY: `mallopt` takes two integers and may be called at any time.
        unsafe { libc::mallopt(parameter, value) };
    }
}
