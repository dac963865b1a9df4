//! Server responses with invalid header fields.

use crate::support::configuration::config;
use aspendrum::config::Config;
use aspendrum::http::{parse_server_response, MessageSchema, Parsed};
use aspendrum::limits::Limits;
use aspendrum_core::api::LoadValue;
use aspendrum_net::ring_buffer::RingBuffer;
use std::collections::HashMap;
use std::net::SocketAddr;
use test_case::test_case;

/// Guards against discarding a valid response because its load report is not text. An invalid length still invalidates
/// the response.
#[test_case(b"HTTP/1.1 200 OK\r\nX-Pressure: \xff\xfe=1\r\nContent-Length: 2\r\n\r\nhi", Some((0, None)) ; "report is no text")]
#[test_case(b"HTTP/1.1 200 OK\r\nX-Pressure: TEXT cpu_share=0.5, queue=\xff\r\nContent-Length: 2\r\n\r\nhi", Some((0, None)) ; "half of it is no text")]
#[test_case(b"HTTP/1.1 200 OK\r\nX-Pressure: TEXT cpu_share=0.5, queue=x\r\nContent-Length: 2\r\n\r\nhi", Some((2, None)) ; "one value is no number")]
#[test_case(b"HTTP/1.1 200 OK\r\nX-Units-Charged: 1e30\r\nContent-Length: 2\r\n\r\nhi", Some((0, None)) ; "more units than any request takes")]
#[test_case(b"HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: 2\r\n\r\nhi", Some((0, Some(1.0))) ; "units")]
#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: \xff2\r\n\r\nhi", None ; "length is no text")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: \xffchunked\r\n\r\n0\r\n\r\n", None ; "coding is no text")]
fn an_invalid_field_invalidates_only_itself(bytes: &[u8], expected: Option<(u8, Option<f32>)>) {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let config = Config::parse(&config(&[], address, address).to_string()).unwrap();
    let schema = MessageSchema {
        group_numbers: HashMap::new(),
        plan_numbers: HashMap::new(),
        semantics: Vec::new(),
        limiters: 1.0,
        max_units: 1.0,
        load_values: vec![LoadValue::CpuUtilization, LoadValue::RequestsQueued],
    };
    let mut buffer = RingBuffer::new(8, 512);
    assert!(buffer.append(bytes));
    let parsed = match parse_server_response(&mut buffer, &schema, &Limits::new(&config).messages) {
        Parsed::Complete(response) => Some((response.load.count, response.charged)),
        _ => None,
    };
    assert_eq!(parsed, expected);
}
