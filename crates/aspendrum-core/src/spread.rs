//! Distributes numbered items evenly over an interval, without coordination between instances.

/// The golden ratio's fractional part. Multiples of it, modulo 1, form a low-discrepancy sequence
/// (Weyl).
pub(crate) const GOLDEN_FRACTION: f64 = 0.618_033_988_75;

/// Returns the position of the item with that number in `0.0..1.0`.
pub(crate) fn phase(number: f64) -> f64 {
    (number * GOLDEN_FRACTION).fract()
}
