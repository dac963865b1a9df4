//! Each core by itself, at graded sizes.

mod consensus;
mod finding;
mod gossip;
mod model;
mod proxy;

pub use model::PAGE;

type Case = (&'static str, fn());

const CASES: [Case; 6] = [
    ("model", model::configurations),
    ("lists", model::lists),
    ("proxy", proxy::tell),
    ("gossip", gossip::tell),
    ("consensus", consensus::tell),
    ("finding", finding::tell),
];

pub fn all(only: &str) -> Result<(), String> {
    let chosen: Vec<&Case> = CASES.iter().filter(|c| c.0.starts_with(only)).collect();
    if chosen.is_empty() {
        let names: Vec<&str> = CASES.iter().map(|c| c.0).collect();
        return Err(format!(
            "no core's name begins with {only}: {}",
            names.join(", ")
        ));
    }
    chosen.iter().for_each(|case| case.1());
    Ok(())
}
