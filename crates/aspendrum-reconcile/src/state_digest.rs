//! The canonical form of what is in force, and its digests. Two nodes that would treat every request alike have one
//! edition, however their tables came to be; whatever a request's way depends on is in it.

use aspendrum_model::config::Config;
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
    let routes = config.places().map(|(host, prefix, n)| {
        let r = &config.routes[n];
        let form = Form::default()
            .text(host)
            .text(prefix)
            .number(f64::from(u8::from(r.repeatable)));
        let form = form
            .number(f64::from(u8::from(r.public)))
            .number(f64::from(r.tries));
        let form = form
            .number(r.goal_ms)
            .number(r.limit_ms)
            .number(r.prio)
            .texts(r.homes.iter());
        r.services.iter().fold(form, |form, (service, weight)| {
            form.text(service).number(*weight)
        })
    });
    let services = config.services.iter().map(|s| {
        let form = Form::default()
            .text(&s.name)
            .text(&s.check)
            .number(f64::from(s.max_conns));
        form.number(s.warmup_s).number(s.warm_rate_s)
    });
    // Whether there are tenants at all decides of requests without a key.
    let tenants = config.tenants.iter().flatten().enumerate().map(|(n, t)| {
        let form = Form::default()
            .text(&t.name)
            .number(t.prio)
            .number(t.rate_s)
            .number(t.burst);
        let mut keys: Vec<&String> = config.keys_of(n).collect();
        keys.sort_unstable();
        form.texts(t.homes.iter()).texts(keys.into_iter())
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
