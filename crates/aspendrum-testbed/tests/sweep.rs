//! Parsing of the key and the values of a sweep.

use aspendrum_testbed::sweep::SweptKey;

#[test]
fn a_swept_key_is_parsed_with_its_values() {
    let swept: SweptKey = "limiters.count=5, 20,40".parse().unwrap();
    let values = ["5", "20", "40"].map(String::from).to_vec();
    assert_eq!(
        (swept.key.as_str(), swept.values),
        ("limiters.count", values)
    );
    for invalid in [
        "limiters.count",
        "=5",
        "limiters.count=",
        "limiters.count=5,,6",
    ] {
        assert!(invalid.parse::<SweptKey>().is_err(), "{invalid}");
    }
}
