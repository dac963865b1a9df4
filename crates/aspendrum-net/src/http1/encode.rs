//! Encoding of responses that are generated locally rather than forwarded.

/// Returns the reason phrase of a status code (RFC 9110, 15).
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

/// Encodes a complete response. `close` adds a header field that announces the end of the connection.
pub fn encode_response(status: u16, headers: &[(&str, &str)], close: bool, body: &[u8]) -> Vec<u8> {
    let mut response = encode_response_head(status, headers, close, body.len());
    response.extend_from_slice(body);
    response
}

/// Encodes the head of a response whose body has `body_bytes` bytes. `close` is as for [`encode_response`].
pub fn encode_response_head(
    status: u16,
    headers: &[(&str, &str)],
    close: bool,
    body_bytes: usize,
) -> Vec<u8> {
    let reason = reason_phrase(status);
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {body_bytes}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += if close {
        "Connection: close\r\n\r\n"
    } else {
        "\r\n"
    };
    head.into_bytes()
}
