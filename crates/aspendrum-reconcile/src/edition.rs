//! The canonical form of what is in force, and its digests. Two nodes that would treat every request alike have one
//! edition, however their tables came to be; whatever a request's way depends on is in it.

use aspendrum_model::config::{Config, RouteEntry};
use aspendrum_model::hash::digest;
use aspendrum_model::message::{Revision, StateDigest, DIGEST_SECTIONS};

/// What is digested apart, in the order of an edition's digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    Routes,
    Services,
    Tenants,
    Evacuations,
}

impl Section {
    pub const ALL: [Section; DIGEST_SECTIONS] = [
        Section::Routes,
        Section::Services,
        Section::Tenants,
        Section::Evacuations,
    ];

    /// The sections in which two editions differ.
    pub fn differing(one: &StateDigest, other: &StateDigest) -> Vec<Section> {
        let pairs = one.digests.iter().zip(&other.digests).zip(Section::ALL);
        pairs
            .filter(|((a, b), _)| a != b)
            .map(|(_, section)| section)
            .collect()
    }
}

/// Fields one after the other, each behind its length: no two lists of fields have one form.
#[derive(Default)]
struct Form(Vec<u8>);

impl Form {
    fn text(mut self, text: &str) -> Form {
        self.0.extend_from_slice(&(text.len() as u64).to_le_bytes());
        self.0.extend_from_slice(text.as_bytes());
        self
    }

    fn number(mut self, number: f64) -> Form {
        self.0.extend_from_slice(&number.to_bits().to_le_bytes());
        self
    }

    fn texts<'t>(self, texts: impl Iterator<Item = &'t String>) -> Form {
        let texts: Vec<&String> = texts.collect();
        let form = self.number(texts.len() as f64);
        texts.into_iter().fold(form, |form, t| form.text(t))
    }
}

/// A section's digest: of its entries' digests in order, so that the order of tables says nothing.
fn sum(entries: impl Iterator<Item = Form>) -> u64 {
    let mut all: Vec<u64> = entries.map(|f| digest(&f.0)).collect();
    all.sort_unstable();
    digest(
        &all.iter()
            .flat_map(|d| d.to_le_bytes())
            .collect::<Vec<u8>>(),
    )
}

/// What is in force by these tables. `zones`: those that are evacuated, by the order of that number.
pub fn edition(config: Option<&Config>, number: u64, zones: &[String]) -> StateDigest {
    let mark = Revision {
        config: config.map_or(0, |c| c.version),
        evacuation: number,
    };
    let evacuations = sum(zones.iter().map(|z| Form::default().text(z)));
    let Some(config) = config else {
        return StateDigest {
            revision: mark,
            digests: [0, 0, 0, evacuations],
        };
    };
    let routes = config.route_entries().map(
        |RouteEntry {
             host,
             prefix,
             route,
         }| {
            let r = &config.routes[route];
            let form = Form::default()
                .text(host)
                .text(prefix)
                .number(f64::from(u8::from(r.idempotent)));
            let form = form
                .number(f64::from(u8::from(r.is_public)))
                .number(f64::from(r.max_attempts));
            let form = form
                .number(r.latency_target_ms)
                .number(r.timeout_ms)
                .number(r.priority)
                .texts(r.home_regions.iter());
            r.services
                .iter()
                .fold(form, |form, s| form.text(&s.service).number(s.weight))
        },
    );
    let services = config.services.iter().map(|s| {
        let form = Form::default()
            .text(&s.name)
            .text(&s.health_check_path)
            .number(f64::from(s.max_connections));
        form.number(s.slow_start_s).number(s.slow_start_rate)
    });
    // Whether there are tenants at all decides of requests without a key.
    let tenants = config.tenants.iter().flatten().enumerate().map(|(n, t)| {
        let form = Form::default()
            .text(&t.name)
            .number(t.priority)
            .number(t.rate_per_second)
            .number(t.burst);
        let mut keys: Vec<&String> = config.keys_of(n).collect();
        keys.sort_unstable();
        form.texts(t.home_regions.iter()).texts(keys.into_iter())
    });
    let bound =
        std::iter::once(Form::default().number(f64::from(u8::from(config.tenants.is_some()))));
    let digests = [
        sum(routes),
        sum(services),
        sum(bound.chain(tenants)),
        evacuations,
    ];
    StateDigest {
        revision: mark,
        digests,
    }
}
