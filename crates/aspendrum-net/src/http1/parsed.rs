//! The outcome of parsing what has arrived so far.

/// What a buffer holds so far.
pub enum Parsed<T> {
    /// The beginning of a message: more bytes are needed.
    Incomplete,
    /// A whole message.
    Complete(T),
    /// No message; the status with which its sender, or its receiver, is answered.
    Invalid(u16),
}
