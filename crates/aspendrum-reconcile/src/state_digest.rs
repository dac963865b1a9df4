//! The canonical form of a node's applied state, and the digests that are computed from it.
//!
//! Two nodes that handle all requests identically have equal digests, regardless of the order of their table entries.
//! Each entry that affects routing is encoded in a canonical form and hashed; the sorted hashes of a section's entries
//! are hashed again. Nodes of different program versions compare these digests, so the encoding must not change
//! (`tests/wire_bytes.rs`).

use aspendrum_model::config::{Config, Route, RouteEntry, Service};
use aspendrum_model::hash::digest;
use aspendrum_model::message::{Revision, StateDigest, DIGEST_SECTIONS};

/// A part of the state with a separate digest. The variants are in the order of [`StateDigest::digests`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// Hosts, path prefixes and their routes.
    Routes,
    /// Services and their limits.
    Services,
    /// Tenants, their keys and quotas.
    Tenants,
    /// Zones that are evacuated by operators.
    Evacuations,
}

impl Section {
    /// All sections, in the order of [`StateDigest::digests`].
    pub const ALL: [Section; DIGEST_SECTIONS] = [
        Section::Routes,
        Section::Services,
        Section::Tenants,
        Section::Evacuations,
    ];

    /// Returns the sections in which two digests differ.
    pub fn differing(one: &StateDigest, other: &StateDigest) -> Vec<Section> {
        let pairs = one.digests.iter().zip(&other.digests).zip(Section::ALL);
        pairs
            .filter(|((left, right), _)| left != right)
            .map(|(_, section)| section)
            .collect()
    }

    /// Returns the name of the section in reports and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Section::Routes => "routes",
            Section::Services => "services",
            Section::Tenants => "tenants",
            Section::Evacuations => "evacuations",
        }
    }
}

/// An injective encoding of a list of fields: texts are prefixed with their length, numbers have eight bytes.
#[derive(Default)]
struct CanonicalForm(Vec<u8>);

impl CanonicalForm {
    fn text(mut self, text: &str) -> CanonicalForm {
        self.0.extend_from_slice(&(text.len() as u64).to_le_bytes());
        self.0.extend_from_slice(text.as_bytes());
        self
    }

    fn number(mut self, number: f64) -> CanonicalForm {
        self.0.extend_from_slice(&number.to_bits().to_le_bytes());
        self
    }

    fn flag(self, flag: bool) -> CanonicalForm {
        self.number(f64::from(u8::from(flag)))
    }

    fn texts<'t>(self, texts: impl Iterator<Item = &'t String>) -> CanonicalForm {
        let texts: Vec<&String> = texts.collect();
        let form = self.number(texts.len() as f64);
        texts.into_iter().fold(form, |form, text| form.text(text))
    }
}

/// Computes the digest of an applied state.
///
/// `evacuated_zones` are the evacuated zones as of the evacuation revision `evacuation`. Without a configuration, the
/// digests of its sections are 0.
pub fn state_digest(
    config: Option<&Config>,
    evacuation: u64,
    evacuated_zones: &[String],
) -> StateDigest {
    let revision = Revision {
        config: config.map(|config| config.version),
        evacuation,
    };
    let [routes, services, tenants] = match config {
        Some(config) => [
            routes_digest(config),
            services_digest(config),
            tenants_digest(config),
        ],
        None => [0, 0, 0],
    };
    let zones = evacuated_zones
        .iter()
        .map(|zone| CanonicalForm::default().text(zone));
    StateDigest {
        revision,
        digests: [routes, services, tenants, section_digest(zones)],
    }
}

/// Hashes the entries' hashes in sorted order, so that the digest does not depend on the order of the entries.
fn section_digest(entries: impl Iterator<Item = CanonicalForm>) -> u64 {
    let mut entry_digests: Vec<u64> = entries.map(|form| digest(&form.0)).collect();
    entry_digests.sort_unstable();
    let bytes: Vec<u8> = entry_digests
        .iter()
        .flat_map(|digest| digest.to_le_bytes())
        .collect();
    digest(&bytes)
}

fn routes_digest(config: &Config) -> u64 {
    section_digest(
        config
            .route_entries()
            .map(|entry| route_form(&entry, &config.routes[entry.route])),
    )
}

fn route_form(entry: &RouteEntry<'_>, route: &Route) -> CanonicalForm {
    let form = CanonicalForm::default()
        .text(entry.host)
        .text(entry.prefix)
        .flag(route.is_idempotent)
        .flag(route.is_public)
        .number(f64::from(route.max_attempts))
        .number(route.latency_target_ms)
        .number(route.timeout_ms)
        .number(route.priority)
        .texts(route.home_regions.iter());
    route.services.iter().fold(form, |form, target| {
        form.text(&target.service).number(target.weight)
    })
}

fn services_digest(config: &Config) -> u64 {
    section_digest(config.services.iter().map(service_form))
}

fn service_form(service: &Service) -> CanonicalForm {
    CanonicalForm::default()
        .text(&service.name)
        .text(&service.health_check_path)
        .number(f64::from(service.max_connections))
        .number(service.slow_start_s)
        .number(service.slow_start_rate)
}

fn tenants_digest(config: &Config) -> u64 {
    // The handling of requests without a key depends on whether tenants are configured.
    let has_tenants = std::iter::once(CanonicalForm::default().flag(config.tenants.is_some()));
    let tenants = config
        .tenants
        .iter()
        .flatten()
        .enumerate()
        .map(|(index, tenant)| {
            let mut keys: Vec<&String> = config.keys_of(index).collect();
            keys.sort_unstable();
            CanonicalForm::default()
                .text(&tenant.name)
                .number(tenant.priority)
                .number(tenant.rate_per_second)
                .number(tenant.burst)
                .texts(tenant.home_regions.iter())
                .texts(keys.into_iter())
        });
    section_digest(has_tenants.chain(tenants))
}
