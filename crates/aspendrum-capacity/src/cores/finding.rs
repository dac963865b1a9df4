//! Look-ups, out of control's own directory. Control is a program without a library: its core is read as it
//! stands.

#[allow(dead_code)]
#[path = "../../../aspendrum-control/src/directory.rs"]
mod own;

use crate::measure::{batches, each, memory, Line};
use crate::sizes;
use own::{union, Directory};

const LIMITERS: [usize; 5] = [30, 100, 200, 430, 1_000];
const CONTROL: usize = 4;

pub fn tell() {
    let regions = sizes::regions();
    for limiters in LIMITERS {
        let line = |name| Line::of(name).with("limiters", limiters);
        let fronts = sizes::fronts(limiters);
        let tables: Vec<_> = fronts.chunks(limiters.div_ceil(CONTROL)).map(<[_]>::to_vec).collect();
        line("finding.union").ms("cpu", &each(25, |_| union(tables.iter()))).tell();
        line("finding.rebuild").ms("cpu", &each(25, |_| Directory::new(&fronts, &regions))).tell();
        let (directory, held, _) = memory(|| Directory::new(&fronts, &regions));
        line("finding.memory").mb("held", held).tell();
        let zone = |n: usize| (sizes::region(n), sizes::zone(n));
        let asked = batches(25, 200, |n| directory.look_up(&zone(n).0, &zone(n).1));
        let there = directory.look_up(&zone(0).0, &zone(0).1).len();
        line("finding.look_up").with("where", "zone").with("addresses", there).ms("cpu", &asked).tell();
        let anywhere = batches(25, 200, |_| directory.look_up("nowhere", "nowhere"));
        line("finding.look_up").with("where", "anywhere").ms("cpu", &anywhere).tell();
    }
}
