//! Header fields: look-ups, and what they mean for the connection.

/// The fields of a message in their order: names in the sender's spelling, and values.
pub type Headers = Vec<(String, Vec<u8>)>;

/// The fields that always concern one connection only (RFC 9110, 7.6.1), and those that each hop writes itself.
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

/// The value of the first field of that name.
pub fn raw_header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a [u8]> {
    headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
}

/// The value of the first field of that name, trimmed; `None` also if it is not UTF-8.
pub fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    std::str::from_utf8(raw_header(headers, name)?)
        .ok()
        .map(str::trim)
}

/// Whether the sender closes the connection after the message, by its `Connection` field and by its minor version
/// (RFC 9112, 9.3).
pub fn wants_close(headers: &[httparse::Header<'_>], minor_version: Option<u8>) -> bool {
    let options = header(headers, "Connection").unwrap_or("");
    let has_option = |name: &str| {
        options
            .split(',')
            .any(|o| o.trim().eq_ignore_ascii_case(name))
    };
    has_option("close") || minor_version == Some(0) && !has_option("keep-alive")
}

/// The value of the only field of that name, trimmed; `None` if there is none, more than one, or it is not UTF-8.
pub fn single_header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|h| h.0.eq_ignore_ascii_case(name));
    let value = found.next().filter(|_| found.next().is_none())?;
    std::str::from_utf8(&value.1).ok().map(str::trim)
}

/// Whether there is a field of that name.
pub fn has_header(headers: &Headers, name: &str) -> bool {
    headers.iter().any(|h| h.0.eq_ignore_ascii_case(name))
}

/// Whether a field concerns one connection only and must not be forwarded: always, or because `Connection` names it
/// (RFC 9110, 7.6.1).
pub fn is_hop_by_hop(headers: &Headers, name: &str) -> bool {
    let names_it = |(field, value): &(String, Vec<u8>)| {
        field.eq_ignore_ascii_case("connection")
            && std::str::from_utf8(value).is_ok_and(|v| {
                v.split(',')
                    .any(|option| option.trim().eq_ignore_ascii_case(name))
            })
    };
    HOP_BY_HOP
        .iter()
        .any(|field| field.eq_ignore_ascii_case(name))
        || headers.iter().any(names_it)
}

/// Copies the fields out of the buffer that they were parsed in.
pub(super) fn to_owned(headers: &[httparse::Header<'_>]) -> Headers {
    headers
        .iter()
        .map(|h| (h.name.to_string(), h.value.to_vec()))
        .collect()
}
