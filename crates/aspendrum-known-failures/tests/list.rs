//! The list of known failures: what is refused, and that exactly the listed tests are left out.

use aspendrum_known_failures::{
    lists_test, parse_list, parse_programs, plan_runs, test_outcome, TestOutcome, TestProgram,
};
use std::path::PathBuf;

const GOOD: &str =
    "aspendrum-control::processes a::b, voters are settled once, and never change, #42\n";

#[test]
fn a_line_is_a_test_a_cause_and_an_issue() {
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

/// Danger: a list that grows, or that does not say why a test fails.
#[test]
fn a_bad_line_and_a_fourth_are_refused() {
    let three = "p::t a, why, 1\np::t b, why, 2\n\np::t c, why, 3\n";
    assert_eq!(parse_list(three).unwrap().len(), 3);
    let refused = [
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
    for (text, why) in refused {
        let said = parse_list(text).unwrap_err().to_string();
        assert!(said.contains(why), "{text:?}: {said}");
    }
    let said = parse_list(&format!("{three}p::t d, why, 4\n"))
        .unwrap_err()
        .to_string();
    assert!(said.contains("4 tests, and 3 may be"), "{said}");
    let said = parse_list("p::t a, why, 1\nnonsense\n")
        .unwrap_err()
        .to_string();
    assert!(said.contains("line 2"), "{said}");
}

fn built(package: &str, kind: &str, name: &str) -> TestProgram {
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
    let said = r#"{"reason":"compiler-artifact","package_id":"path+file:///w/crates/one#0.1.0","manifest_path":"/w/crates/one/Cargo.toml","target":{"kind":["lib"],"name":"one"},"profile":{"test":true},"executable":"/t/one-1"}
{"reason":"compiler-artifact","package_id":"path+file:///w/crates/x#two@0.1.0","manifest_path":"/w/crates/x/Cargo.toml","target":{"kind":["test"],"name":"deep"},"profile":{"test":true},"executable":"/t/deep-1"}
{"reason":"compiler-artifact","package_id":"path+file:///w/crates/x#two@0.1.0","manifest_path":"/w/crates/x/Cargo.toml","target":{"kind":["bin"],"name":"two"},"profile":{"test":false},"executable":"/t/two"}
{"reason":"build-finished","success":true}
no message"#;
    let all = parse_programs(said);
    let found: Vec<_> = all
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
    assert_eq!(all[1].working_dir, PathBuf::from("/w/crates/x"));
}

/// Danger: a listed name leaves out other tests with similar names, in the same program or in another.
#[test]
fn only_the_listed_tests_of_the_listed_program_are_left_out() {
    let all = [
        built("one", "lib", "one"),
        built("one", "test", "deep"),
        built("two", "bin", "two"),
    ];
    let listed = parse_list("one::deep a::b, why, 4").unwrap();
    let found: Vec<String> = plan_runs(&listed, &all)
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
            plan_runs(&parse_list(missing).unwrap(), &all).is_err(),
            "{missing}"
        );
    }
    let two = [built("one", "bin", "deep"), built("one", "test", "deep")];
    assert!(plan_runs(&listed, &two)
        .unwrap_err()
        .to_string()
        .contains("several"));
}

#[test]
fn a_test_is_found_by_its_full_name_only() {
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
