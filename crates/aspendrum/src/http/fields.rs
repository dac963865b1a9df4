//! Names of request header fields, and parsers of their values.

use aspendrum_core::api::Millis;

/// The transaction id assigned by the client.
pub(super) const TRANSACTION: &str = "X-Txn";
/// The name of an endpoint group.
pub(super) const GROUP: &str = "X-Lane";
/// The name of a tenant's plan.
pub(super) const PLAN: &str = "X-Plan";
/// The time until the client stops waiting.
pub(super) const REMAINING: &str = "X-Remaining";
/// Whether the request is a client retry.
pub(super) const RESENT: &str = "X-Resent";
/// The units that a request consumes, and the limiters that share its tenant's quota.
pub(super) const QUOTA: &str = "X-Quota";
/// The key by which servers recognize a request that they have already run.
pub(super) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const TENANT_COOKIE: &str = "client";

/// Fields that must not be repeated, because the limiter and a server could each use a different occurrence.
const SINGLETON_FIELDS: [&str; 9] = [
    TRANSACTION,
    GROUP,
    PLAN,
    REMAINING,
    RESENT,
    QUOTA,
    IDEMPOTENCY_KEY,
    "Cookie",
    "Host",
];
/// Hop-by-hop fields, and fields that this hop writes itself.
const HOP_BY_HOP: [&str; 12] = [
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "proxy-connection",
    "proxy-authorization",
    "proxy-authenticate",
    "content-length",
    "x-remaining",
];

/// The exclusive upper bound of tenant numbers, which are written with [`TENANT_DIGITS`] hexadecimal digits.
const MAX_TENANTS: u64 = 1 << 33;
const TENANT_DIGITS: usize = 16;
const MAX_REMAINING: Millis = 3_600_000.0;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

pub(super) fn has_duplicate_field(headers: &[httparse::Header<'_>]) -> bool {
    let is_repeated = |name: &&str| {
        headers
            .iter()
            .filter(|field| field.name.eq_ignore_ascii_case(name))
            .count()
            > 1
    };
    SINGLETON_FIELDS.iter().any(is_repeated)
}

pub(super) fn is_forwarded(field: &httparse::Header<'_>) -> bool {
    !HOP_BY_HOP
        .iter()
        .any(|name| name.eq_ignore_ascii_case(field.name))
}

/// Parses the tenant number from the cookies. Returns `None` if there are several, because a server could use another
/// one.
pub(super) fn parse_tenant(headers: &[httparse::Header<'_>]) -> Option<u64> {
    let cookies = headers
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case("cookie"));
    let texts = cookies.filter_map(|field| std::str::from_utf8(field.value).ok());
    let mut values = texts
        .flat_map(|text| text.split(';'))
        .filter_map(|pair| pair.trim().strip_prefix(TENANT_COOKIE)?.strip_prefix('='));
    let value = values
        .next()
        .filter(|value| value.len() == TENANT_DIGITS && !value.starts_with('+'))?;
    if values.next().is_some() {
        return None;
    }
    u64::from_str_radix(value, 16)
        .ok()
        .filter(|tenant| *tenant < MAX_TENANTS)
}

/// Parses a time with its unit: `m` for milliseconds, `u` for microseconds.
pub(super) fn parse_remaining_time(text: &str) -> Option<Millis> {
    let millis = match text.as_bytes().last()? {
        b'm' => parse_number(&text[..text.len() - 1])?,
        b'u' => parse_number(&text[..text.len() - 1])? / MICROSECONDS_PER_MILLISECOND,
        _ => return None,
    };
    Some(millis).filter(|millis| *millis > 0.0 && *millis <= MAX_REMAINING)
}

/// The part of its tenant's quota that a request uses.
pub(super) struct QuotaShare {
    pub(super) units: f64,
    /// The number of limiters that share the quota.
    pub(super) instances: f64,
    /// The number of the first of these limiters.
    pub(super) first_instance: f64,
}

impl QuotaShare {
    const NAMES: [&str; 3] = ["units", "spread", "first"];

    /// Parses `units=U,spread=S,first=F`, in any order. Unknown names are ignored.
    pub(super) fn parse(text: &str) -> Option<QuotaShare> {
        let mut values = [None; 3];
        for pair in text.split(',') {
            let (name, value) = pair.trim().split_once('=')?;
            let Some(index) = QuotaShare::NAMES.iter().position(|known| *known == name) else {
                continue;
            };
            if values[index].replace(parse_number(value)?).is_some() {
                return None;
            }
        }
        let [units, instances, first_instance] = values;
        Some(QuotaShare {
            units: units?,
            instances: instances?,
            first_instance: first_instance?,
        })
    }

    /// Returns whether this set of limiters exists and a request may use this number of units.
    pub(super) fn is_valid(&self, limiters: f64, max_units: f64) -> bool {
        let is_existing_set =
            self.instances >= 1.0 && self.instances <= limiters && self.first_instance < limiters;
        let is_whole = self.instances.fract() == 0.0 && self.first_instance.fract() == 0.0;
        is_existing_set && is_whole && self.units > 0.0 && self.units <= max_units
    }
}

/// Parses a finite, non-negative number.
pub(super) fn parse_number(text: &str) -> Option<f64> {
    text.trim()
        .parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)
}
