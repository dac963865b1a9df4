//! The result of parsing a partially received message.

/// The result of parsing the contents of a buffer.
pub enum Parsed<T> {
    /// More bytes are needed.
    Incomplete,
    /// A complete message.
    Complete(T),
    /// The bytes are not a valid message. Carries the HTTP status code to respond with, to the sender of an invalid
    /// request or to the client waiting for a response.
    Invalid(u16),
}
