//! Runs the program on a generated workspace without dependencies.

use std::fs::{create_dir_all, write};
use std::path::Path;
use std::process::{Command, Output};

/// Writes a workspace with two test programs, `one` and `two`. Both have a test `same` and a test with a similar name.
/// The body of `same` in `one` is `first_body`.
fn write_workspace(root: &Path, first_body: &str) {
    let manifest =
        "[package]\nname = \"small\"\nversion = \"0.1.0\"\nedition = \"2021\"\n[workspace]\n";
    write(root.join("Cargo.toml"), manifest).unwrap();
    let lock = "version = 4\n\n[[package]]\nname = \"small\"\nversion = \"0.1.0\"\n";
    write(root.join("Cargo.lock"), lock).unwrap();
    for directory in ["src", "tests"] {
        create_dir_all(root.join(directory)).unwrap();
    }
    write(root.join("src/lib.rs"), "").unwrap();
    let program =
        |body: &str| format!("#[test] fn same() {{ {body} }}\n#[test] fn same_but_longer() {{}}\n");
    write(root.join("tests/one.rs"), program(first_body)).unwrap();
    write(
        root.join("tests/two.rs"),
        program("println!(\"the other ran\")"),
    )
    .unwrap();
}

fn run_known_failures(root: &Path) -> (Output, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_known-failures"));
    command
        .arg(root)
        .env("CARGO_NET_OFFLINE", "true")
        .env("CARGO_TARGET_DIR", root.join("target"));
    let output = command.output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output, text)
}

/// Returns the number of lines that are equal to `line`, ignoring surrounding white space.
fn count_lines(text: &str, line: &str) -> usize {
    text.lines().filter(|l| l.trim() == line).count()
}

/// Guards against skipping tests that are not listed.
#[test]
fn exactly_the_listed_test_is_skipped_and_reported() {
    let directory = tempfile::tempdir().unwrap();
    let root = directory.path();
    write_workspace(root, "panic!()");
    let (output, text) = run_known_failures(root);
    assert!(!output.status.success(), "an unlisted test fails:\n{text}");

    write(
        root.join("KNOWN-RED.txt"),
        "small::one same, it is made so, 4\n",
    )
    .unwrap();
    let (output, text) = run_known_failures(root);
    assert!(output.status.success(), "{text}");
    assert!(
        text.contains("known red, passed over: small::one same, it is made so, #4"),
        "{text}"
    );
    assert_eq!(
        count_lines(&text, "test same ... ok"),
        1,
        "only the test of the other program:\n{text}"
    );
    assert_eq!(
        count_lines(&text, "test same_but_longer ... ok"),
        2,
        "{text}"
    );

    write(
        root.join("KNOWN-RED.txt"),
        "small::one sam, it is made so, 4\n",
    )
    .unwrap();
    let (output, text) = run_known_failures(root);
    assert!(
        !output.status.success() && text.contains("holds no test sam"),
        "{text}"
    );

    write(
        root.join("KNOWN-RED.txt"),
        "small::two same, it is made so, 4\n",
    )
    .unwrap();
    let (output, text) = run_known_failures(root);
    assert!(
        !output.status.success(),
        "the failing test is not the listed one:\n{text}"
    );

    write_workspace(root, "");
    let (output, text) = run_known_failures(root);
    assert!(
        output.status.success() && text.contains("take its line out: small::two same"),
        "{text}"
    );

    write(root.join("KNOWN-RED.txt"), "\n").unwrap();
    let (output, text) = run_known_failures(root);
    assert!(
        output.status.success() && text.contains("no test"),
        "{text}"
    );
    assert_eq!(count_lines(&text, "test same ... ok"), 2, "{text}");
}
