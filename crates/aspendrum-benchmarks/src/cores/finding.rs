//! Look-ups, out of control's own directory.

use crate::measure::{batches, each, memory, Line};
use crate::sizes;
use aspendrum_control::directory::{Directory, REGION_HOLD_TIME};
use aspendrum_control::proxy_table::{merge_proxy_tables, ProxyEntry};
use aspendrum_model::message::ProxyEndpoint;

const LIMITERS: [usize; 5] = [30, 100, 200, 430, 1_000];
const CONTROL: usize = 4;

pub(super) fn tell() {
    let regions = sizes::regions();
    for limiters in LIMITERS {
        let line = |name| Line::of(name).with("limiters", limiters);
        let fronts = sizes::fronts(limiters);
        let known = |f: &ProxyEndpoint| ProxyEntry {
            proxy: f.clone(),
            connected: true,
        };
        let tables = fronts
            .chunks(limiters.div_ceil(CONTROL))
            .map(|t| t.iter().map(known).collect());
        let tables: Vec<Vec<ProxyEntry>> = tables.collect();
        line("finding.union")
            .ms("cpu", &each(25, |_| merge_proxy_tables(tables.iter())))
            .tell();
        let build = || {
            let mut directory = Directory::new(0.0, &regions);
            directory.update(0.0, &fronts);
            directory
        };
        line("finding.rebuild")
            .ms("cpu", &each(25, |_| build()))
            .tell();
        let (directory, held, _) = memory(build);
        line("finding.memory").mb("held", held).tell();
        let zone = |n: usize| (sizes::region(n), sizes::zone(n));
        let asked = batches(25, 200, |n| {
            directory.look_up(REGION_HOLD_TIME, &zone(n).0, &zone(n).1, 5.0)
        });
        let there = directory
            .look_up(REGION_HOLD_TIME, &zone(0).0, &zone(0).1, 5.0)
            .addresses
            .len();
        line("finding.look_up")
            .with("where", "zone")
            .with("addresses", there)
            .ms("cpu", &asked)
            .tell();
        let anywhere = batches(25, 200, |_| {
            directory.look_up(REGION_HOLD_TIME, "nowhere", "nowhere", 5.0)
        });
        line("finding.look_up")
            .with("where", "anywhere")
            .ms("cpu", &anywhere)
            .tell();
    }
}
