//! Compares encoded values, whose bytes must not change, with a fixture file of lines `name hex`.

use std::fmt::{Debug, Write};

/// The named byte strings of a fixture file.
pub(crate) struct Pinned {
    file: &'static str,
    expected: Vec<(String, Vec<u8>)>,
    next: usize,
}

impl Pinned {
    /// Parses a fixture. `file` is its name in failure messages, `content` its content.
    pub(crate) fn new(file: &'static str, content: &str) -> Pinned {
        let line = |line: &str| {
            let (name, hex) = line.split_once(' ').expect("each line is `name hex`");
            (name.to_string(), bytes(hex))
        };
        Pinned {
            file,
            expected: content.lines().map(line).collect(),
            next: 0,
        }
    }

    /// Asserts that the next line of the fixture has this name and these bytes.
    pub(crate) fn assert_bytes(&mut self, name: &str, encoded: &[u8]) {
        let (expected_name, expected) = self
            .expected
            .get(self.next)
            .unwrap_or_else(|| panic!("{}: no line for {name} {}", self.file, hex(encoded)));
        self.next += 1;
        assert_eq!(name, expected_name, "{}: line {}", self.file, self.next);
        assert_eq!(
            hex(encoded),
            hex(expected),
            "{}: {name} is encoded otherwise",
            self.file
        );
    }

    /// Asserts that the value is encoded as the next line of the fixture, and that the line is decoded as the value.
    pub(crate) fn same<T>(&mut self, name: &str, value: &T)
    where
        T: serde::Serialize + serde::de::DeserializeOwned + Debug,
    {
        let encoded = postcard::to_allocvec(value).expect("it can be encoded");
        self.assert_bytes(name, &encoded);
        let decoded: T = postcard::from_bytes(&encoded).expect("it can be decoded");
        assert_eq!(
            format!("{decoded:?}"),
            format!("{value:?}"),
            "{}: {name} is decoded otherwise",
            self.file
        );
    }

    /// Asserts that every line of the fixture was compared.
    pub(crate) fn assert_complete(self) {
        assert_eq!(
            self.next,
            self.expected.len(),
            "{}: lines that no value was compared with",
            self.file
        );
    }
}

fn bytes(hex: &str) -> Vec<u8> {
    assert!(
        hex.len().is_multiple_of(2) && hex.is_ascii(),
        "hex digits come in pairs: {hex}"
    );
    (0..hex.len())
        .step_by(2)
        .map(|n| u8::from_str_radix(&hex[n..n + 2], 16).expect("a hex digit"))
        .collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes all");
        text
    })
}
