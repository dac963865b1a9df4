//! Scenarios played once for each value of one key.

use crate::program::Program;
use crate::report::{self, Row};
use crate::run;
use crate::scenario::Scenario;
use std::path::{Path, PathBuf};

/// One key of a scenario and the values that it takes in turn.
#[derive(Clone, Debug, PartialEq)]
pub struct Over {
    /// The key of the scenario.
    pub key: String,
    /// Its values.
    pub values: Vec<String>,
}

impl Over {
    /// As `limiters.count=5,20,40`.
    pub fn read(text: &str) -> Result<Over, String> {
        let (key, values) = text.split_once('=').ok_or("it is KEY=a,b,c")?;
        let values: Vec<String> = values.split(',').map(|v| v.trim().to_string()).collect();
        if key.is_empty() || values.iter().any(String::is_empty) {
            return Err("it is KEY=a,b,c, and neither the key nor a value may be empty".into());
        }
        Ok(Over {
            key: key.to_string(),
            values,
        })
    }
}

/// Plays them all, one after another; every scenario is checked with every value before the first begins.
/// Whether all kept their rules and bounds.
pub fn play(
    texts: &[String],
    over: &Over,
    plays: u64,
    limiter: Option<PathBuf>,
    out: &Path,
) -> Result<bool, String> {
    let mut all = Vec::new();
    for text in texts {
        for value in &over.values {
            for play in 0..plays {
                let mut s = Scenario::with(text, &over.key, value)?;
                s.seed += play;
                all.push((value, s));
            }
        }
    }
    let mut rows: Vec<(String, Row)> = Vec::new();
    for (n, (value, s)) in all.iter().enumerate() {
        eprint!(
            "{}/{} {} with {} = {value}, seed {} ... ",
            n + 1,
            all.len(),
            s.name,
            over.key,
            s.seed
        );
        let start = Program::for_scenario(s, limiter.clone()).map_err(|e| e.to_string())?;
        let folder = out.join(format!("{}-{value}-{}", s.name, s.seed));
        let o = run::play(s, &start, &folder.join("limiters"), &|_| {})?;
        report::write(s, &o, &folder)?;
        let row = Row::of(s, &o);
        eprintln!(
            "{:.2} of the quota granted, {} broken",
            row.over_quota, row.broken
        );
        rows.push((value.to_string(), row));
    }
    write(over, &rows, out)?;
    Ok(rows.iter().all(|r| r.1.broken == 0))
}

fn write(over: &Over, rows: &[(String, Row)], out: &Path) -> Result<(), String> {
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let plain: Vec<Row> = rows.iter().map(|r| r.1.clone()).collect();
    report::rows(&out.join("sweep.csv"), &plain)?;
    type Figure = (&'static str, &'static str, fn(&Row) -> f64);
    let figures: [Figure; 3] = [
        ("over_quota", "granted over quota", |r| r.over_quota),
        (
            "refused_with_room",
            "refused with room, of what had room",
            |r| r.refused_with_room,
        ),
        ("bytes", "bytes a limiter a second", |r| {
            r.bytes_per_limiter_s
        }),
    ];
    for (file, name, figure) in figures {
        let mut series: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
        for (value, row) in rows {
            // A value that is no number has no place on an axis; the table has it all the same.
            let Ok(x) = value.parse::<f64>() else {
                continue;
            };
            match series.iter_mut().find(|s| s.0 == row.scenario) {
                Some(s) => s.1.push((x, figure(row))),
                None => series.push((row.scenario.clone(), vec![(x, figure(row))])),
            }
        }
        let axes = (over.key.as_str(), name);
        report::lines_chart(&out.join(format!("{file}.svg")), name, axes, &series)?;
    }
    std::fs::write(out.join("sweep.md"), markdown(over, rows))
        .map_err(|e| format!("{}: {e}", out.display()))
}

/// The table for a page.
fn markdown(over: &Over, rows: &[(String, Row)]) -> String {
    let mut out = format!(
        "| scenario | {} | granted / quota | worst window / burst | refused with room | recovered after, s | p99, ms | \
         datagrams, bytes a limiter a s | counter calls a s | broken |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        over.key
    );
    for (value, r) in rows {
        let recovered = r.recovery_s.map_or("-".into(), |s| format!("{s:.1}"));
        out += &format!(
            "| {} | {value} | {:.2} | {:.1} | {:.3} | {recovered} | {:.0} | {:.1}, {:.0} | {:.0} | {} |\n",
            r.scenario,
            r.over_quota,
            r.peak_over_burst,
            r.refused_with_room,
            r.p99_ms,
            r.datagrams_per_limiter_s,
            r.bytes_per_limiter_s,
            r.counter_calls_per_s,
            r.broken
        );
    }
    out
}
