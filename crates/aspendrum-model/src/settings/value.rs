//! The types of settings, and the lookup of settings in the file.

use super::error::InvalidSetting;
use super::PortRange;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A type that a setting can have.
pub(super) trait Setting: Sized {
    /// The name of the type in error messages.
    const EXPECTED: &'static str;
    /// Converts a JSON value. Returns `None` if it has a different type.
    fn from_json(json: &Value) -> Option<Self>;
}

macro_rules! setting_types {
    ($($type:ty, $expected:literal, |$json:ident| $value:expr;)*) => {
        $(impl Setting for $type {
            const EXPECTED: &'static str = $expected;
            fn from_json($json: &Value) -> Option<Self> {
                $value
            }
        })*
    };
}

setting_types! {
    String, "text", |json| json.as_str().map(str::to_string);
    bool, "true or false", |json| json.as_bool();
    u64, "a whole number", |json| json.as_u64();
    f64, "a number", |json| json.as_f64();
    Ipv4Addr, "an IP number", |json| json.as_str()?.parse().ok();
    SocketAddrV4, "an address with a port", |json| json.as_str()?.parse().ok();
    PortRange, "two ports", |json| Some(PortRange { first: port(json, 0)?, last: port(json, 1)? });
    Vec<SocketAddrV4>, "addresses with ports",
        |json| json.as_array()?.iter().map(SocketAddrV4::from_json).collect();
    BTreeMap<SocketAddrV4, SocketAddrV4>, "addresses by addresses",
        |json| json.as_object()?.iter().map(|(from, to)| Some((from.parse().ok()?, SocketAddrV4::from_json(to)?))).collect();
    BTreeSet<String>, "a list of texts",
        |json| json.as_array()?.iter().map(String::from_json).collect();
    BTreeMap<String, String>, "texts by name",
        |json| json.as_object()?.iter().map(|(name, text)| Some((name.clone(), String::from_json(text)?))).collect();
}

/// A setting that may be null.
impl<T: Setting> Setting for Option<T> {
    const EXPECTED: &'static str = T::EXPECTED;
    fn from_json(json: &Value) -> Option<Self> {
        if json.is_null() {
            Some(None)
        } else {
            T::from_json(json).map(Some)
        }
    }
}

fn port(json: &Value, index: usize) -> Option<u16> {
    u16::try_from(json.get(index)?.as_u64()?).ok()
}

/// Returns the setting at the given path of the document, or its default. A setting without a default is required. If
/// the setting is missing or invalid, adds the error to `invalid` and returns `None`.
pub(super) fn find_setting<T: Setting>(
    document: &Value,
    key_path: &'static str,
    default: Option<T>,
    is_in_range: fn(&T) -> bool,
    invalid: &mut Vec<InvalidSetting>,
) -> Option<T> {
    let found = key_path
        .split('.')
        .try_fold(document, |object, key| object.get(key));
    let value = match found {
        Some(json) => T::from_json(json).ok_or(InvalidSetting::WrongType {
            key_path,
            expected: T::EXPECTED,
        }),
        None => default.ok_or(InvalidSetting::Missing { key_path }),
    };
    let in_range = |value| {
        if is_in_range(&value) {
            Ok(value)
        } else {
            Err(InvalidSetting::OutOfRange { key_path })
        }
    };
    match value.and_then(in_range) {
        Ok(value) => Some(value),
        Err(reason) => {
            invalid.push(reason);
            None
        }
    }
}
