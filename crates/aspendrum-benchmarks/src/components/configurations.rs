//! Configurations: encoded size, parsing, compression and state digests.

use crate::figure::FigureLine;
use crate::fleet_data::config_text;
use crate::fleet_size::{FleetSize, TARGET};
use crate::measure::{measure_memory, time_each};
use aspendrum_model::compression::{compress, decompress};
use aspendrum_model::config::Config;
use aspendrum_model::message::{FromControl, StateSection};
use aspendrum_net::frames::encode_frame;
use aspendrum_reconcile::state_digest;

/// Configurations with more tenants are measured with fewer repeats.
const LARGE_TENANT_COUNT: usize = 5_000;

/// The dimensions of a configuration.
#[derive(Clone, Copy)]
struct ConfigShape {
    routes: usize,
    tenants: usize,
    hosts: usize,
}

const fn shape(routes: usize, tenants: usize, hosts: usize) -> ConfigShape {
    ConfigShape {
        routes,
        tenants,
        hosts,
    }
}

/// Increasing numbers of routes, hosts and tenants; the last entry is the target size.
const SHAPES: [ConfigShape; 8] = [
    shape(100, 500, 16),
    shape(475, 500, 62),
    shape(1_900, 500, 250),
    shape(1_900, 500, 1),
    shape(100, 5_000, 16),
    shape(100, 17_500, 16),
    shape(100, 35_000, 16),
    shape(1_900, 35_000, 250),
];

pub(super) fn run() {
    SHAPES.into_iter().for_each(measure);
}

impl ConfigShape {
    fn figure(&self, name: &str) -> FigureLine {
        FigureLine::new(name)
            .with("routes", self.routes)
            .with("tenants", self.tenants)
            .with("hosts", self.hosts)
    }

    fn text(&self) -> String {
        let size = FleetSize {
            routes: self.routes,
            tenants: self.tenants,
            ..TARGET
        };
        config_text(&size, self.hosts, 1)
    }
}

fn measure(shape: ConfigShape) {
    let is_large = shape.tenants > LARGE_TENANT_COUNT;
    let repeats = if is_large { 5 } else { 15 };
    let text = shape.text();
    let packed = compress(text.as_bytes());
    let frame = encode_frame(&FromControl::Update {
        number: 1,
        section: StateSection::config(1, packed.clone()),
    });
    shape
        .figure("model.config.bytes")
        .with("text", text.len())
        .with("packed", packed.len())
        .with("frame", frame.len())
        .print();
    let compress_time = time_each(repeats, |_| compress(text.as_bytes()));
    let decompress_time = time_each(repeats, |_| decompress(&packed));
    let memory = measure_memory(|| Config::read(text.as_bytes()));
    let read_time = time_each(repeats, |_| Config::read(text.as_bytes()));
    shape
        .figure("model.pack")
        .milliseconds("cpu", &compress_time)
        .print();
    shape
        .figure("model.unpack")
        .milliseconds("cpu", &decompress_time)
        .print();
    shape
        .figure("model.config.memory")
        .megabytes("held", memory.retained_bytes)
        .megabytes("most", memory.peak_bytes)
        .print();
    shape
        .figure("model.config.read")
        .milliseconds("cpu", &read_time)
        .print();
    let Ok(config) = memory.result else { return };
    let repeats = if is_large { 3 } else { 9 };
    let digest_time = time_each(repeats, |_| state_digest(Some(&config), 0, &[]));
    shape
        .figure("collation.edition")
        .milliseconds("cpu", &digest_time)
        .print();
}
