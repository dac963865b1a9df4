//! The header fields of requests: their names, and how their values are read.

use aspendrum_core::api::Millis;

/// The client's id of a transaction.
pub(super) const TRANSACTION: &str = "X-Txn";
/// The name of an endpoint group.
pub(super) const GROUP: &str = "X-Lane";
/// The name of a tenant's plan.
pub(super) const PLAN: &str = "X-Plan";
/// The time that is left until the client gives up.
pub(super) const REMAINING: &str = "X-Remaining";
/// Whether the client retries.
pub(super) const RESENT: &str = "X-Resent";
/// The units that a request takes, and the limiters among which its tenant's quota is divided.
pub(super) const QUOTA: &str = "X-Quota";
/// By which servers recognize a request that they have run before.
pub(super) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const TENANT_COOKIE: &str = "client";

/// Fields that decide how a request is treated. One that comes twice may be read in one way here and in another by a
/// server.
const SINGLE_FIELDS: [&str; 9] = [
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
/// Fields that concern one connection only, and those that this hop writes itself.
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

/// Tenants are numbers below this, written with [`TENANT_DIGITS`] hexadecimal digits.
const TENANTS: u64 = 1 << 33;
const TENANT_DIGITS: usize = 16;
const MAX_REMAINING: Millis = 3_600_000.0;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

pub(super) fn has_duplicate_field(headers: &[httparse::Header<'_>]) -> bool {
    let comes_twice = |name: &&str| {
        headers
            .iter()
            .filter(|field| field.name.eq_ignore_ascii_case(name))
            .count()
            > 1
    };
    SINGLE_FIELDS.iter().any(comes_twice)
}

pub(super) fn is_forwarded(field: &httparse::Header<'_>) -> bool {
    !HOP_BY_HOP
        .iter()
        .any(|name| name.eq_ignore_ascii_case(field.name))
}

/// The number of the tenant in the cookies. None also if there are two: a server might take the other one.
pub(super) fn tenant(headers: &[httparse::Header<'_>]) -> Option<u64> {
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
        .filter(|tenant| *tenant < TENANTS)
}

/// A time with its unit: `m` for milliseconds, `u` for microseconds.
pub(super) fn remaining_time(text: &str) -> Option<Millis> {
    let millis = match text.as_bytes().last()? {
        b'm' => number(&text[..text.len() - 1])?,
        b'u' => number(&text[..text.len() - 1])? / MICROSECONDS_PER_MILLISECOND,
        _ => return None,
    };
    Some(millis).filter(|millis| *millis > 0.0 && *millis <= MAX_REMAINING)
}

/// What a request takes of its tenant's quota.
pub(super) struct QuotaShare {
    pub(super) units: f64,
    /// How many limiters share the quota.
    pub(super) instances: f64,
    /// The number of the first of them.
    pub(super) first_instance: f64,
}

impl QuotaShare {
    const NAMES: [&str; 3] = ["units", "spread", "first"];

    /// Reads `units=U,spread=S,first=F`, in any order and with unknown names among them.
    pub(super) fn parse(text: &str) -> Option<QuotaShare> {
        let mut values = [None; 3];
        for pair in text.split(',') {
            let (name, value) = pair.trim().split_once('=')?;
            let Some(index) = QuotaShare::NAMES.iter().position(|known| *known == name) else {
                continue;
            };
            if values[index].replace(number(value)?).is_some() {
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

    /// Whether such a set of limiters exists, and a request may take so many units.
    pub(super) fn is_valid(&self, limiters: f64, max_units: f64) -> bool {
        let is_set =
            self.instances >= 1.0 && self.instances <= limiters && self.first_instance < limiters;
        let is_whole = self.instances.fract() == 0.0 && self.first_instance.fract() == 0.0;
        is_set && is_whole && self.units > 0.0 && self.units <= max_units
    }
}

/// A finite number that is not negative.
pub(super) fn number(text: &str) -> Option<f64> {
    text.trim()
        .parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)
}
