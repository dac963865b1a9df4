//! Mailboxes of threads that handle messages and timers.

use aspendrum_net::mailbox::{self, RecvError};
use std::time::{Duration, Instant};

const FAR_FUTURE: Duration = Duration::from_secs(600);

/// Guards against starvation of timers. The loops of control nodes and agents received the next message as long as
/// there was one, even if a timer was due. While messages arrived faster than they were handled, a control node read no
/// majority and an agent sent no heartbeats, so that others considered it failed.
#[test]
fn a_due_timer_takes_precedence_over_queued_messages() {
    let (sender, receiver) = mailbox::for_current_thread(4);
    for number in 1..=3 {
        assert!(sender.send(number, None));
    }
    let now = Instant::now();
    assert_eq!(receiver.recv_until_due(now), Err(RecvError::TimedOut));
    assert_eq!(receiver.recv_until_due(now + FAR_FUTURE), Ok(1));
    assert_eq!(receiver.recv_until_due(now), Err(RecvError::TimedOut));
    assert_eq!(receiver.recv_until_due(now + FAR_FUTURE), Ok(2));
}

#[test]
fn a_queued_message_is_received_after_the_deadline() {
    let (sender, receiver) = mailbox::for_current_thread(4);
    assert!(sender.send(1, None));
    let now = Instant::now();
    assert_eq!(receiver.recv_deadline(Some(now)), Ok(1));
    assert_eq!(receiver.recv_deadline(Some(now)), Err(RecvError::TimedOut));
}
