//! The bytes of each datagram between instances, as `fixtures/datagrams.txt` pins them.

use aspendrum_core::word::{Whose, Word};
use test_case::test_case;

const WHOSE: Whose = Whose {
    acct: 0x12_3456_789a,
    plan: 7,
    first: 0x1122,
    spread: 0x3344,
};
const STAMP: u32 = 0x89ab_cdef;
const SEQ: u16 = 0xcdef;

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

fn ask(ceiling: bool) -> Word {
    Word::Ask {
        stamp: STAMP,
        whose: WHOSE,
        units: 2.5,
        ceiling,
        gift: 0x5566,
    }
}

fn answer(granted: bool, alone: bool, wait: f64) -> Word {
    Word::Answer {
        seq: SEQ,
        granted,
        alone,
        wait,
    }
}

#[test_case("probe", Word::Hello { stamp: STAMP } ; "probe")]
#[test_case("ask", ask(false) ; "ask")]
#[test_case("ask_ceiling", ask(true) ; "ask that takes from the ceiling too")]
#[test_case("answer_refused", answer(false, false, 500.0) ; "refused")]
#[test_case("answer_granted", answer(true, false, 0.0) ; "granted")]
#[test_case("answer_refused_isolated", answer(false, true, 65_535.0) ; "refused without the counter")]
#[test_case("answer_granted_isolated", answer(true, true, 7.0) ; "granted without the counter")]
#[test_case("give_back", Word::Back { stamp: STAMP } ; "units given back")]
#[test_case("gift_request", Word::Want { whose: WHOSE } ; "request for gifts")]
#[test_case("gift", Word::Gift { stamp: STAMP, whose: WHOSE, gift: 0x5566 } ; "gift")]
fn each_datagram_is_written_and_read_as_these_bytes(name: &str, word: Word) {
    let bytes = fixture(name);
    assert_eq!(word.write(), bytes);
    assert_eq!(Word::read(&bytes), Some(word));
}

#[test_case("legacy_ask", false ; "ask")]
#[test_case("legacy_ask_ceiling", true ; "ask that takes from the ceiling too")]
fn an_ask_of_the_version_before_is_read_as_one_without_a_gift(name: &str, ceiling: bool) {
    let read = Word::Ask {
        stamp: SEQ.into(),
        whose: WHOSE,
        units: 2.5,
        ceiling,
        gift: 0,
    };
    assert_eq!(Word::read(&fixture(name)), Some(read));
}

#[test]
fn units_given_back_by_the_version_before_are_known_and_written_by_nobody() {
    assert_eq!(Word::read(&fixture("legacy_give_back")), Some(Word::Old));
    assert_eq!(Word::Old.write(), Vec::<u8>::new());
}

/// A wait is told in whole milliseconds of two bytes.
#[test_case(-1.0, 0 ; "negative")]
#[test_case(12.9, 12 ; "fraction")]
#[test_case(1e9, 65_535 ; "beyond two bytes")]
fn a_wait_is_written_within_two_bytes(wait: f64, written: u16) {
    let bytes = answer(false, false, wait).write();
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
            assert_eq!(Word::read(&bytes[..cut]), None, "{name} cut to {cut}");
        }
        let mut longer = bytes.clone();
        longer.push(0);
        assert_eq!(Word::read(&longer), None, "{name} with a byte more");
    }
    for kind in [0, 11, 12, 0x7f, 0xff] {
        for size in 1..40 {
            assert_eq!(
                Word::read(&vec![kind; size]),
                None,
                "kind {kind} of {size} bytes"
            );
        }
    }
}
