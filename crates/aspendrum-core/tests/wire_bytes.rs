//! The encoding of each datagram between instances, as pinned in `fixtures/datagrams.txt`.

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

fn quota_request(charges_rate_limit: bool) -> PeerMessage {
    let transferred_steps = 0x5566;
    PeerMessage::QuotaRequest(QuotaRequest {
        id: ID,
        key: KEY,
        units: 2.5,
        charges_rate_limit,
        transferred_steps,
    })
}

fn quota_reply(granted: bool, counter_unreachable: bool, retry_after: f64) -> PeerMessage {
    PeerMessage::QuotaReply(QuotaReply {
        sequence: SEQUENCE,
        granted,
        counter_unreachable,
        retry_after,
    })
}

#[test_case("probe", PeerMessage::Ping { id: ID } ; "ping")]
#[test_case("ask", quota_request(false) ; "quota request")]
#[test_case("ask_ceiling", quota_request(true) ; "quota request charged to the rate limit")]
#[test_case("answer_refused", quota_reply(false, false, 500.0) ; "refused")]
#[test_case("answer_granted", quota_reply(true, false, 0.0) ; "granted")]
#[test_case("answer_refused_isolated", quota_reply(false, true, 65_535.0) ; "refused without the counter")]
#[test_case("answer_granted_isolated", quota_reply(true, true, 7.0) ; "granted without the counter")]
#[test_case("give_back", PeerMessage::Return { id: ID } ; "return")]
#[test_case("gift_request", PeerMessage::TokenRequest { key: KEY } ; "token request")]
#[test_case("gift", PeerMessage::TokenTransfer { id: ID, key: KEY, steps: 0x5566 } ; "token transfer")]
fn each_message_is_encoded_and_decoded_as_pinned(name: &str, message: PeerMessage) {
    let bytes = fixture(name);
    assert_eq!(message.encode(), bytes);
    assert_eq!(PeerMessage::decode(&bytes), Some(message));
}

#[test_case("legacy_ask", false ; "quota request")]
#[test_case("legacy_ask_ceiling", true ; "quota request charged to the rate limit")]
fn a_quota_request_of_the_previous_version_is_decoded_without_a_transfer(
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
fn a_return_of_the_previous_version_is_recognized_and_never_sent() {
    assert_eq!(
        PeerMessage::decode(&fixture("legacy_give_back")),
        Some(PeerMessage::Legacy)
    );
    assert_eq!(PeerMessage::Legacy.encode(), Vec::<u8>::new());
}

/// The retry delay is encoded in whole milliseconds, in two bytes.
#[test_case(-1.0, 0 ; "negative")]
#[test_case(12.9, 12 ; "fraction")]
#[test_case(1e9, 65_535 ; "beyond two bytes")]
fn a_retry_delay_is_encoded_in_two_bytes(delay: f64, encoded: u16) {
    let bytes = quota_reply(false, false, delay).encode();
    assert_eq!(bytes[4..], encoded.to_be_bytes());
}

#[test]
fn datagrams_of_any_other_length_or_kind_are_rejected() {
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
            "{name} with an additional byte"
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
