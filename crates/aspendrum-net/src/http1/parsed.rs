//! The outcome of parsing what has arrived so far.

/// What a buffer holds so far.
pub enum Parsed<T> {
    /// The beginning of a message: more bytes are needed.
    Incomplete,
    /// A whole message.
    Complete(T),
    /// The bytes are no valid message. Carries the HTTP status to answer with: to the sender for a request, to the
    /// waiting client for a response.
    Invalid(u16),
}
