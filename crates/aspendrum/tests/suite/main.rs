//! The limiter's tests: stand-ins on loopback, no bench.

mod helper;
mod limiter;
mod pieces;
mod wire_bytes;
