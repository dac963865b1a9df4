//! Lookup of header fields, and header fields that concern the connection.

/// The header fields of a message in their original order and spelling, as names and values.
pub type Headers = Vec<(String, Vec<u8>)>;

/// Header fields that always concern a single connection (RFC 9110, 7.6.1), and those that each hop generates itself.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
    "content-length",
    "expect",
];

/// Returns the value of the first field with the given name.
pub fn raw_header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a [u8]> {
    headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
}

/// Returns the trimmed value of the first field with the given name, or `None` if it is missing or not UTF-8.
pub fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    std::str::from_utf8(raw_header(headers, name)?)
        .ok()
        .map(str::trim)
}

/// Whether the sender closes the connection after the message, according to its `Connection` field and HTTP minor
/// version (RFC 9112, 9.3).
pub fn wants_close(headers: &[httparse::Header<'_>], minor_version: Option<u8>) -> bool {
    let options = header(headers, "Connection").unwrap_or("");
    let has_option = |name: &str| {
        options
            .split(',')
            .any(|o| o.trim().eq_ignore_ascii_case(name))
    };
    has_option("close") || minor_version == Some(0) && !has_option("keep-alive")
}

/// Returns the trimmed value of the only field with the given name, or `None` if there is not exactly one or it is not
/// UTF-8.
pub fn single_header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|h| h.0.eq_ignore_ascii_case(name));
    let value = found.next().filter(|_| found.next().is_none())?;
    std::str::from_utf8(&value.1).ok().map(str::trim)
}

/// Whether there is a field with the given name.
pub fn has_header(headers: &Headers, name: &str) -> bool {
    headers.iter().any(|h| h.0.eq_ignore_ascii_case(name))
}

/// Whether a field concerns a single connection and must not be forwarded, either always or because the `Connection`
/// field lists it (RFC 9110, 7.6.1).
pub fn is_hop_by_hop(headers: &Headers, name: &str) -> bool {
    let is_listed = |(field, value): &(String, Vec<u8>)| {
        field.eq_ignore_ascii_case("connection")
            && std::str::from_utf8(value).is_ok_and(|v| {
                v.split(',')
                    .any(|option| option.trim().eq_ignore_ascii_case(name))
            })
    };
    HOP_BY_HOP
        .iter()
        .any(|field| field.eq_ignore_ascii_case(name))
        || headers.iter().any(is_listed)
}

/// Copies the fields from the buffer in which they were parsed.
pub(super) fn to_owned(headers: &[httparse::Header<'_>]) -> Headers {
    headers
        .iter()
        .map(|h| (h.name.to_string(), h.value.to_vec()))
        .collect()
}
