//! Cancellation of attempts to forward a request.

use aspendrum_net::forward::{ForwardHandle, RequestKind};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

/// Guards against a late cancellation that aborts the next request on the same connection.
#[test]
fn a_cancellation_affects_only_the_attempts_up_to_its_number() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = Arc::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
    let forward = ForwardHandle::new(RequestKind::Idempotent);
    let can_write = || (&*stream).write(b"x").is_ok();
    assert!(forward.begin_attempt(0, &stream) && !forward.end_attempt(0));
    forward.cancel_up_to(0);
    assert!(can_write());
    assert!(forward.begin_attempt(1, &stream));
    forward.cancel_up_to(0);
    assert!(can_write());
    forward.cancel_up_to(1);
    assert!(!can_write() && forward.end_attempt(1));
    assert!(!forward.begin_attempt(1, &stream));
}
