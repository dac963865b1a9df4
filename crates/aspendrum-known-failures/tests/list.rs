//! Parsing of the list of known failures, and planning of test runs that skip exactly the listed tests.

use aspendrum_known_failures::{
    lists_test, parse_list, parse_programs, plan_runs, test_outcome, TestOutcome, TestProgram,
};
use std::path::PathBuf;

const GOOD: &str =
    "aspendrum-control::processes a::b, voters are settled once, and never change, #42\n";

#[test]
fn a_line_consists_of_a_test_a_cause_and_an_issue() {
    let [one] = &parse_list(GOOD).unwrap()[..] else {
        panic!()
    };
    assert_eq!(
        (one.package.as_str(), one.program.as_str()),
        ("aspendrum-control", "processes")
    );
    assert_eq!((one.test.as_str(), one.issue), ("a::b", 42));
    assert_eq!(one.cause, "voters are settled once, and never change");
    assert_eq!(
        parse_list(&format!("{one}\n\n")).unwrap(),
        std::slice::from_ref(one)
    );
    assert_eq!(parse_list("\n \n").unwrap(), []);
}

/// Guards against a growing list and against entries without a cause or an issue.
#[test]
fn invalid_lines_and_a_fourth_entry_are_rejected() {
    let three = "p::t a, why, 1\np::t b, why, 2\n\np::t c, why, 3\n";
    assert_eq!(parse_list(three).unwrap().len(), 3);
    let invalid = [
        ("p::t a", "TEST, CAUSE, ISSUE"),
        ("p::t a, why", "no issue"),
        ("p::t a, , 4", "no cause"),
        ("p::t a, --, 4", "no cause"),
        ("p::t a, why, ", "must be a number"),
        ("p::t a, why, soon", "must be a number"),
        ("p::t a, why, 0", "must be a number"),
        ("p::t, why, 4", "PACKAGE::PROGRAM TEST"),
        ("a, why, 4", "PACKAGE::PROGRAM TEST"),
        ("p t, why, 4", "PACKAGE::PROGRAM TEST"),
        ("::t a, why, 4", "PACKAGE::PROGRAM TEST"),
        ("p:: a, why, 4", "PACKAGE::PROGRAM TEST"),
        ("p::t a b, why, 4", "PACKAGE::PROGRAM TEST"),
        ("p::t a, why, 4\np::t a, why, 4", "twice"),
        ("# a comment", "TEST, CAUSE, ISSUE"),
    ];
    for (text, expected) in invalid {
        let error = parse_list(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{text:?}: {error}");
    }
    let error = parse_list(&format!("{three}p::t d, why, 4\n"))
        .unwrap_err()
        .to_string();
    assert!(error.contains("4 tests, and 3 may be"), "{error}");
    let error = parse_list("p::t a, why, 1\nnonsense\n")
        .unwrap_err()
        .to_string();
    assert!(error.contains("line 2"), "{error}");
}

fn test_program(package: &str, kind: &str, name: &str) -> TestProgram {
    let (executable, working_dir) = (
        PathBuf::from(format!("/t/{name}-{kind}")),
        PathBuf::from("/p"),
    );
    TestProgram {
        package: package.into(),
        kind: kind.into(),
        name: name.into(),
        executable,
        working_dir,
    }
}

#[test]
fn test_programs_are_found_in_the_messages_of_cargo() {
    let messages = r#"{"reason":"compiler-artifact","package_id":"path+file:///w/crates/one#0.1.0","manifest_path":"/w/crates/one/Cargo.toml","target":{"kind":["lib"],"name":"one"},"profile":{"test":true},"executable":"/t/one-1"}
{"reason":"compiler-artifact","package_id":"path+file:///w/crates/x#two@0.1.0","manifest_path":"/w/crates/x/Cargo.toml","target":{"kind":["test"],"name":"deep"},"profile":{"test":true},"executable":"/t/deep-1"}
{"reason":"compiler-artifact","package_id":"path+file:///w/crates/x#two@0.1.0","manifest_path":"/w/crates/x/Cargo.toml","target":{"kind":["bin"],"name":"two"},"profile":{"test":false},"executable":"/t/two"}
{"reason":"build-finished","success":true}
no message"#;
    let programs = parse_programs(messages);
    let found: Vec<_> = programs
        .iter()
        .map(|p| (p.package.as_str(), p.listed_name(), p.target_arguments()))
        .collect();
    let words = |w: &[&str]| w.iter().map(|w| w.to_string()).collect::<Vec<_>>();
    assert_eq!(
        found,
        [
            ("one", "lib", words(&["--lib"])),
            ("two", "deep", words(&["--test", "deep"]))
        ]
    );
    assert_eq!(programs[1].working_dir, PathBuf::from("/w/crates/x"));
}

/// Guards against skipping other tests with similar names, in the same program or in another one.
#[test]
fn only_the_listed_tests_of_the_listed_program_are_skipped() {
    let programs = [
        test_program("one", "lib", "one"),
        test_program("one", "test", "deep"),
        test_program("two", "bin", "two"),
    ];
    let listed = parse_list("one::deep a::b, why, 4").unwrap();
    let found: Vec<String> = plan_runs(&listed, &programs)
        .unwrap()
        .iter()
        .map(|r| r.join(" "))
        .collect();
    assert_eq!(
        found,
        [
            "test --workspace --locked --exclude one",
            "test --locked --package one --lib",
            "test --locked --package one --test deep -- --exact --skip a::b",
            "test --locked --package one --doc",
        ]
    );
    for missing in [
        "one::other a, why, 4",
        "three::deep a, why, 4",
        "two::lib a, why, 4",
    ] {
        assert!(
            plan_runs(&parse_list(missing).unwrap(), &programs).is_err(),
            "{missing}"
        );
    }
    let ambiguous = [
        test_program("one", "bin", "deep"),
        test_program("one", "test", "deep"),
    ];
    assert!(plan_runs(&listed, &ambiguous)
        .unwrap_err()
        .to_string()
        .contains("several"));
}

#[test]
fn a_test_matches_by_its_full_name_only() {
    let list = "a::b: test\na::bc: test\nd: benchmark\n";
    assert!(lists_test(list, "a::b") && lists_test(list, "a::bc"));
    assert!(
        !lists_test(list, "a")
            && !lists_test(list, "b")
            && !lists_test(list, "a::b: test")
            && !lists_test(list, "d")
    );
    assert_eq!(test_outcome(false, ""), TestOutcome::Failed);
    assert_eq!(
        test_outcome(true, "ok. 1 passed; 0 failed; 0 ignored"),
        TestOutcome::Passed
    );
    assert_eq!(
        test_outcome(true, "ok. 0 passed; 0 failed; 1 ignored"),
        TestOutcome::Ignored
    );
}
