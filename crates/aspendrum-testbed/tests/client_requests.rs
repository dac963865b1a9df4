//! Tests that the testbed's clients send the header names of the protocol, since proxies ignore unknown headers.

use aspendrum_testbed::system::client_exchange::{request_text, RequestPlan};
use std::time::Duration;
use tokio::time::Instant;

/// Guards against renamed headers: clients once sent `Budget-Millis`, which proxies ignore, so no proxy knew the clients'
/// deadlines.
#[test]
fn a_request_has_the_headers_of_the_protocol() {
    let until = Instant::now() + Duration::from_secs(2);
    let text = request_text(0xab, RequestPlan::simple(0), until);
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let mut lines = head.split("\r\n");
    assert_eq!(lines.next(), Some("GET /quote/x HTTP/1.1"));
    let headers: Vec<(&str, &str)> = lines.map(|l| l.split_once(": ").unwrap()).collect();
    let names: Vec<&str> = headers.iter().map(|(name, _)| *name).collect();
    assert_eq!(
        names,
        [
            "Host",
            "Try-Id",
            "Budget-Ms",
            "Credential",
            "Content-Length"
        ]
    );
    assert_eq!(headers[1].1, "00000000000000ab");
    let budget: u64 = headers[2].1.parse().unwrap();
    assert!((1..=2000).contains(&budget));
    assert_eq!((headers[4].1, body), ("0", ""));
    let once_only = RequestPlan {
        is_once_only: true,
        ..RequestPlan::simple(1)
    };
    assert!(request_text(1, once_only, until).starts_with("POST /send/x HTTP/1.1\r\n"));
}
