//! Compares encoded values with a fixture file that contains a line `name hex` per value.

use std::fmt::Write;

/// The named byte strings of a fixture file.
pub(crate) struct Pinned {
    file: &'static str,
    expected: Vec<(String, Vec<u8>)>,
    next: usize,
}

impl Pinned {
    /// Parses a fixture. `file` is its name for failure messages, `content` its text.
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

    /// Asserts that the next line of the fixture has the given name and bytes.
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
            "{}: the encoding of {name} has changed",
            self.file
        );
    }

    /// Asserts that every line of the fixture was compared.
    pub(crate) fn assert_complete(self) {
        assert_eq!(
            self.next,
            self.expected.len(),
            "{}: some lines were not compared with any value",
            self.file
        );
    }
}

fn bytes(hex: &str) -> Vec<u8> {
    assert!(
        hex.len().is_multiple_of(2) && hex.is_ascii(),
        "odd number of hex digits or non-ASCII text: {hex}"
    );
    (0..hex.len())
        .step_by(2)
        .map(|n| u8::from_str_radix(&hex[n..n + 2], 16).expect("a hex digit"))
        .collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        text
    })
}
