//! The bytes of each datagram between instances, as `fixtures/datagrams.txt` pins them.

use aspendrum_core::peer_message::{MessageId, PeerMessage, QuotaReply, QuotaRequest, TenantKey};
use test_case::test_case;

const KEY: TenantKey = TenantKey {
    tenant: 0x12_3456_789a,
    plan: 7,
    first_instance: 0x1122,
    instances: 0x3344,
};
const ID: MessageId = MessageId(0x89ab_cdef);
const SEQUENCE: u16 = 0xcdef;

fn fixture(name: &str) -> Vec<u8> {
    let text = include_str!("fixtures/datagrams.txt");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(" = "));
    let digits: Vec<u8> = line
        .unwrap_or_else(|| panic!("no fixture {name}"))
        .bytes()
        .collect();
    let digits: Vec<u8> = digits
        .into_iter()
        .filter(|b| !b.is_ascii_whitespace())
        .collect();
    digits
        .chunks(2)
        .map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap())
        .collect()
}

fn ask(charges_rate_limit: bool) -> PeerMessage {
    let transferred_steps = 0x5566;
    PeerMessage::QuotaRequest(QuotaRequest {
        id: ID,
        key: KEY,
        units: 2.5,
        charges_rate_limit,
        transferred_steps,
    })
}

fn answer(granted: bool, lacks_counter: bool, retry_after: f64) -> PeerMessage {
    PeerMessage::QuotaReply(QuotaReply {
        sequence: SEQUENCE,
        granted,
        lacks_counter,
        retry_after,
    })
}

#[test_case("probe", PeerMessage::Ping { id: ID } ; "probe")]
#[test_case("ask", ask(false) ; "ask")]
#[test_case("ask_ceiling", ask(true) ; "ask that takes from the ceiling too")]
#[test_case("answer_refused", answer(false, false, 500.0) ; "refused")]
#[test_case("answer_granted", answer(true, false, 0.0) ; "granted")]
#[test_case("answer_refused_isolated", answer(false, true, 65_535.0) ; "refused without the counter")]
#[test_case("answer_granted_isolated", answer(true, true, 7.0) ; "granted without the counter")]
#[test_case("give_back", PeerMessage::Return { id: ID } ; "units given back")]
#[test_case("gift_request", PeerMessage::TokenRequest { key: KEY } ; "request for gifts")]
#[test_case("gift", PeerMessage::TokenTransfer { id: ID, key: KEY, steps: 0x5566 } ; "gift")]
fn each_datagram_is_written_and_read_as_these_bytes(name: &str, message: PeerMessage) {
    let bytes = fixture(name);
    assert_eq!(message.encode(), bytes);
    assert_eq!(PeerMessage::decode(&bytes), Some(message));
}

#[test_case("legacy_ask", false ; "ask")]
#[test_case("legacy_ask_ceiling", true ; "ask that takes from the ceiling too")]
fn an_ask_of_the_version_before_is_read_as_one_without_a_gift(
    name: &str,
    charges_rate_limit: bool,
) {
    let read = PeerMessage::QuotaRequest(QuotaRequest {
        id: MessageId(SEQUENCE.into()),
        key: KEY,
        units: 2.5,
        charges_rate_limit,
        transferred_steps: 0,
    });
    assert_eq!(PeerMessage::decode(&fixture(name)), Some(read));
}

#[test]
fn units_given_back_by_the_version_before_are_known_and_written_by_nobody() {
    assert_eq!(
        PeerMessage::decode(&fixture("legacy_give_back")),
        Some(PeerMessage::Legacy)
    );
    assert_eq!(PeerMessage::Legacy.encode(), Vec::<u8>::new());
}

/// A wait is told in whole milliseconds of two bytes.
#[test_case(-1.0, 0 ; "negative")]
#[test_case(12.9, 12 ; "fraction")]
#[test_case(1e9, 65_535 ; "beyond two bytes")]
fn a_wait_is_written_within_two_bytes(wait: f64, written: u16) {
    let bytes = answer(false, false, wait).encode();
    assert_eq!(bytes[4..], written.to_be_bytes());
}

#[test]
fn bytes_of_any_other_length_or_kind_are_not_read() {
    let text = include_str!("fixtures/datagrams.txt");
    for name in text
        .lines()
        .filter_map(|line| Some(line.split_once(" = ")?.0))
    {
        let bytes = fixture(name);
        for cut in 0..bytes.len() {
            assert_eq!(
                PeerMessage::decode(&bytes[..cut]),
                None,
                "{name} cut to {cut}"
            );
        }
        let mut longer = bytes.clone();
        longer.push(0);
        assert_eq!(
            PeerMessage::decode(&longer),
            None,
            "{name} with a byte more"
        );
    }
    for kind in [0, 11, 12, 0x7f, 0xff] {
        for size in 1..40 {
            assert_eq!(
                PeerMessage::decode(&vec![kind; size]),
                None,
                "kind {kind} of {size} bytes"
            );
        }
    }
}
