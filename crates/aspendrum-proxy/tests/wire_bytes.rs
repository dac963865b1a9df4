//! Byte-level compatibility of the counter datagrams between proxies. A fleet is upgraded proxy by proxy, so
//! each version must read what the others write. The fixture file must not change when types are renamed.

use aspendrum_proxy::counter::{CounterHandover, CounterId, CounterMessage};

/// The fixture has one line per datagram: a name and the bytes in hexadecimal.
const DATAGRAMS: &str = include_str!("fixtures/counter_datagrams.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits =
        |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Returns each variant with values that have short encodings, and with values that have the longest ones.
fn datagrams() -> Vec<(&'static str, CounterMessage)> {
    let handover = |counter, total, age_ms| {
        CounterMessage::Handover(CounterHandover {
            counter: CounterId(counter),
            total,
            age_ms,
        })
    };
    vec![
        (
            "add",
            CounterMessage::Add {
                call: 1,
                counter: CounterId(7),
                amount: 1.0,
            },
        ),
        (
            "add_longest",
            CounterMessage::Add {
                call: u32::MAX,
                counter: CounterId(u64::MAX),
                amount: -0.5,
            },
        ),
        (
            "total",
            CounterMessage::Total {
                call: 300,
                total: 2.5,
            },
        ),
        ("fenced", CounterMessage::Unavailable { call: 129 }),
        (
            "handover_with_total",
            handover((1 << 40) - 1, Some(17.25), 400),
        ),
        ("handover_of_fenced_counter", handover(128, None, 0)),
        ("handover_longest", handover(u64::MAX, Some(1e9), u32::MAX)),
    ]
}

#[test]
fn counter_datagrams_keep_their_bytes() {
    let written = datagrams().into_iter().map(|(name, datagram)| {
        let mut buffer = [0; 32];
        let bytes = postcard::to_slice(&datagram, &mut buffer).expect("32 bytes hold any datagram");
        format!("{name} {}\n", hex(bytes))
    });
    assert_eq!(written.collect::<String>(), DATAGRAMS);
}

#[test]
fn counter_datagrams_are_read_from_their_bytes() {
    let expected = datagrams();
    assert_eq!(DATAGRAMS.lines().count(), expected.len());
    for (line, (name, datagram)) in DATAGRAMS.lines().zip(expected) {
        let (found, hex) = line.split_once(' ').expect("a name and bytes");
        assert_eq!(found, name);
        assert_eq!(
            postcard::from_bytes::<CounterMessage>(&bytes_of(hex)),
            Ok(datagram)
        );
    }
}

#[test]
fn truncated_datagrams_and_unknown_variants_are_rejected() {
    for line in DATAGRAMS.lines() {
        let (name, hex) = line.split_once(' ').expect("a name and bytes");
        let bytes = bytes_of(hex);
        let truncated = &bytes[..bytes.len() - 1];
        assert!(
            postcard::from_bytes::<CounterMessage>(truncated).is_err(),
            "{name}"
        );
    }
    assert!(postcard::from_bytes::<CounterMessage>(&[4, 1, 1, 1, 1, 1, 1]).is_err());
}
