//! The program over a workspace of its own, which needs nothing from anywhere.

use std::fs::{create_dir_all, write};
use std::path::Path;
use std::process::{Command, Output};

/// Writes a workspace with two test programs that have a test of the same name each; one of the two has the body `first`.
/// A third test has a similar name.
fn write_workspace(at: &Path, first: &str) {
    let manifest =
        "[package]\nname = \"small\"\nversion = \"0.1.0\"\nedition = \"2021\"\n[workspace]\n";
    write(at.join("Cargo.toml"), manifest).unwrap();
    let lock = "version = 4\n\n[[package]]\nname = \"small\"\nversion = \"0.1.0\"\n";
    write(at.join("Cargo.lock"), lock).unwrap();
    for folder in ["src", "tests"] {
        create_dir_all(at.join(folder)).unwrap();
    }
    write(at.join("src/lib.rs"), "").unwrap();
    let one =
        |body: &str| format!("#[test] fn same() {{ {body} }}\n#[test] fn same_but_longer() {{}}\n");
    write(at.join("tests/one.rs"), one(first)).unwrap();
    write(at.join("tests/two.rs"), one("println!(\"the other ran\")")).unwrap();
}

fn run_known_failures(at: &Path) -> (Output, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_known-failures"));
    command
        .arg(at)
        .env("CARGO_NET_OFFLINE", "true")
        .env("CARGO_TARGET_DIR", at.join("target"));
    let done = command.output().unwrap();
    let text =
        String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr);
    (done, text)
}

/// How many lines of cargo's output are exactly this one.
fn count_lines(text: &str, end: &str) -> usize {
    text.lines().filter(|l| l.trim() == end).count()
}

/// Danger: a list skips more tests than it names, or others.
#[test]
fn exactly_the_listed_test_is_skipped_and_reported() {
    let folder = tempfile::tempdir().unwrap();
    let at = folder.path();
    write_workspace(at, "panic!()");
    let (done, text) = run_known_failures(at);
    assert!(!done.status.success(), "red, and not listed:\n{text}");

    write(
        at.join("KNOWN-RED.txt"),
        "small::one same, it is made so, 4\n",
    )
    .unwrap();
    let (done, text) = run_known_failures(at);
    assert!(done.status.success(), "{text}");
    assert!(
        text.contains("known red, passed over: small::one same, it is made so, #4"),
        "{text}"
    );
    assert_eq!(
        count_lines(&text, "test same ... ok"),
        1,
        "the other program's:\n{text}"
    );
    assert_eq!(
        count_lines(&text, "test same_but_longer ... ok"),
        2,
        "{text}"
    );

    write(
        at.join("KNOWN-RED.txt"),
        "small::one sam, it is made so, 4\n",
    )
    .unwrap();
    let (done, text) = run_known_failures(at);
    assert!(
        !done.status.success() && text.contains("holds no test sam"),
        "{text}"
    );

    write(
        at.join("KNOWN-RED.txt"),
        "small::two same, it is made so, 4\n",
    )
    .unwrap();
    let (done, text) = run_known_failures(at);
    assert!(
        !done.status.success(),
        "the red one is not the listed one:\n{text}"
    );

    write_workspace(at, "");
    let (done, text) = run_known_failures(at);
    assert!(
        done.status.success() && text.contains("take its line out: small::two same"),
        "{text}"
    );

    write(at.join("KNOWN-RED.txt"), "\n").unwrap();
    let (done, text) = run_known_failures(at);
    assert!(done.status.success() && text.contains("no test"), "{text}");
    assert_eq!(count_lines(&text, "test same ... ok"), 2, "{text}");
}
