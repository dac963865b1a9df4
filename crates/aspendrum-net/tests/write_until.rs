//! Writing to peers that read slowly.

use aspendrum_net::connection::write_until;
use std::io::{self, ErrorKind, Write};
use std::time::{Duration, Instant};

const WRITE_TIME: Duration = Duration::from_millis(20);

/// Accepts one byte at a time. The first write ends at the deadline.
struct TricklingReader {
    deadline: Instant,
    writes: usize,
}

impl Write for TricklingReader {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        self.writes += 1;
        while Instant::now() < self.deadline {
            std::hint::spin_loop();
        }
        Ok(1)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a peer that reads a byte now and then and so keeps the memory of its answer: the deadline was checked
/// between pieces of 64 KB only.
#[test]
fn a_peer_that_reads_a_trickle_is_given_up_at_the_deadline() {
    let deadline = Instant::now() + WRITE_TIME;
    let mut peer = TricklingReader {
        deadline,
        writes: 0,
    };
    let result = write_until(&mut peer, &[0; 64 << 10], deadline);
    assert_eq!(result.unwrap_err().kind(), ErrorKind::TimedOut);
    // A busy machine may reach the deadline before the first write.
    assert!(peer.writes <= 1, "{} writes", peer.writes);
}
