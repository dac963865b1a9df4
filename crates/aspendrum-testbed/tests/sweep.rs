//! What a sweep goes over.

use aspendrum_testbed::sweep::Over;

#[test]
fn a_sweep_names_a_key_and_its_values() {
    let over = Over::read("limiters.count=5, 20,40").unwrap();
    let values = ["5", "20", "40"].map(String::from).to_vec();
    assert_eq!((over.key.as_str(), over.values), ("limiters.count", values));
    for invalid in [
        "limiters.count",
        "=5",
        "limiters.count=",
        "limiters.count=5,,6",
    ] {
        assert!(Over::read(invalid).is_err(), "{invalid}");
    }
}
