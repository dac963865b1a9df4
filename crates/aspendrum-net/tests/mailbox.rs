//! The mailbox of a thread that handles messages and timers.

use aspendrum_net::mailbox::{self, RecvError};
use std::time::{Duration, Instant};

const LATER: Duration = Duration::from_secs(600);

/// Danger: while messages come faster than they are handled, a thread does nothing else: a control node reads no
/// majority, an agent sends no heartbeat, and all others take it for dead.
///
/// Found by reading, while the storm day of issue 60 was searched: the loops of control nodes and agents received the next
/// message as long as there was one, whatever was due.
#[test]
fn a_timer_that_is_due_comes_before_messages_that_wait() {
    let (sender, receiver) = mailbox::for_current_thread(4);
    for number in 1..=3 {
        assert!(sender.send(number, None));
    }
    let now = Instant::now();
    assert_eq!(receiver.recv_until_due(now), Err(RecvError::TimedOut));
    assert_eq!(receiver.recv_until_due(now + LATER), Ok(1));
    assert_eq!(receiver.recv_until_due(now), Err(RecvError::TimedOut));
    assert_eq!(receiver.recv_until_due(now + LATER), Ok(2));
}

#[test]
fn a_deadline_that_has_passed_still_gives_a_message_that_came() {
    let (sender, receiver) = mailbox::for_current_thread(4);
    assert!(sender.send(1, None));
    let now = Instant::now();
    assert_eq!(receiver.recv_deadline(Some(now)), Ok(1));
    assert_eq!(receiver.recv_deadline(Some(now)), Err(RecvError::TimedOut));
}
