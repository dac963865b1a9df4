//! A small random number generator with a reproducible sequence.

const MULTIPLIER: u64 = 4_294_957_665;
const LOW_BITS: u64 = 0xffff_ffff;
const SEED_BITS: u64 = 0x7fff_ffff_ffff_ffff;
const RANGE: f64 = 4_294_967_296.0;

/// Marsaglia's multiply-with-carry generator with a lag of 1 and 32-bit words.
#[derive(Default)]
pub(crate) struct Rng(u64);

impl Rng {
    /// Returns a generator whose sequence is determined by `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Rng((seed | 1) & SEED_BITS)
    }

    /// Returns the next number, uniformly distributed in `0.0..1.0`.
    pub(crate) fn next_f64(&mut self) -> f64 {
        self.0 = MULTIPLIER * (self.0 & LOW_BITS) + (self.0 >> 32);
        (self.0 & LOW_BITS) as f64 / RANGE
    }
}
