//! The ring buffer for one direction of a connection.

use aspendrum_net::ring_buffer::RingBuffer;
use std::io::{Error, ErrorKind, Result, Write};

#[test]
fn a_buffer_wraps_around_grows_to_its_limit_and_is_drained_completely() {
    let mut buffer = RingBuffer::new(4, 16);
    for round in 0..20u8 {
        assert!(buffer.append(&[round, 1, 2]));
        assert_eq!(buffer.contiguous(), [round, 1, 2]);
        buffer.consume(2);
        assert!(buffer.append(&[3, 4]));
        assert_eq!(buffer.contiguous(), [2, 3, 4]);
        buffer.consume(3);
        assert!(buffer.is_empty());
    }
    assert!(buffer.append(&[7; 10]) && !buffer.append(&[8; 7]) && buffer.append(&[8; 6]));
    assert_eq!(
        buffer.fill(&mut &[9u8][..]).unwrap_err().kind(),
        ErrorKind::OutOfMemory
    );
    let mut out = Vec::new();
    buffer.drain(&mut out).unwrap();
    assert_eq!((out.len(), out[9], out[10]), (16, 7, 8));
}

#[test]
fn a_changed_limit_applies_to_later_appends_and_keeps_the_contents() {
    let mut buffer = RingBuffer::new(4, 8);
    assert!(buffer.append(&[1; 8]) && !buffer.append(&[2]));
    buffer.set_max_bytes(10);
    assert!(buffer.append(&[2; 2]) && !buffer.append(&[3]));
    buffer.set_max_bytes(2);
    assert_eq!(buffer.contiguous().len(), 10);
    assert!(!buffer.append(&[3]));
    buffer.consume(10);
    assert!(buffer.append(&[4; 4]) && buffer.contiguous() == [4; 4]);
}

/// A writer that accepts the given number of bytes, then fails.
struct FailAfter(usize);

impl Write for FailAfter {
    fn write(&mut self, data: &[u8]) -> Result<usize> {
        let accepted = self.0.min(data.len());
        self.0 -= accepted;
        if accepted > 0 {
            Ok(accepted)
        } else {
            Err(Error::from(ErrorKind::BrokenPipe))
        }
    }
    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

#[test]
fn a_failed_drain_keeps_the_unwritten_bytes() {
    let mut buffer = RingBuffer::new(4, 16);
    buffer.append(b"hello you");
    assert!(buffer.drain(&mut FailAfter(5)).is_err());
    assert_eq!(buffer.contiguous(), b" you");
}
