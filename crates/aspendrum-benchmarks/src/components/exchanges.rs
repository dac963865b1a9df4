//! Exchanges with a server on loopback, by the size of the request's body.

use crate::figure::FigureLine;
use crate::measure::time_batches;
use aspendrum_net::http1::{parse_request, MessageLimits, Parsed};
use aspendrum_net::http_client::HttpClient;
use aspendrum_net::ring_buffer::RingBuffer;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The sizes of bodies, in bytes. All but the last one go out in one write.
const BODY_BYTES: [usize; 4] = [0, 1 << 10, 7 << 10, 8 << 20];
const LIMITS: MessageLimits = MessageLimits {
    head_bytes: 4 << 10,
    body_bytes: 16 << 20,
};
const TIMEOUT: Duration = Duration::from_secs(10);
/// The body size up to which many exchanges are measured.
const SMALL_BODY_BYTES: usize = 64 << 10;

pub(super) fn run() {
    for body_bytes in BODY_BYTES {
        if let Err(error) = measure(body_bytes) {
            println!("exchange: body_bytes={body_bytes} failed: {error}");
        }
    }
}

fn measure(body_bytes: usize) -> io::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port());
    thread::spawn(move || listener.incoming().flatten().for_each(serve));
    let mut client = HttpClient::new(address, LIMITS);
    let body = vec![b'x'; body_bytes];
    let batch = if body_bytes <= SMALL_BODY_BYTES {
        2000
    } else {
        20
    };
    let mut failures = 0;
    let time = time_batches(9, batch, |_| {
        let response = client.call("POST", "/", &body, TIMEOUT);
        failures += usize::from(response.is_err());
    });
    FigureLine::new("exchange")
        .with("body_bytes", body_bytes)
        .with("failures", failures)
        .milliseconds("cpu", &time)
        .print();
    Ok(())
}

/// Answers the requests of one connection.
fn serve(mut stream: TcpStream) {
    let mut buffer = RingBuffer::new(LIMITS.head_bytes, LIMITS.head_bytes + LIMITS.body_bytes);
    loop {
        match parse_request(&mut buffer, &LIMITS) {
            Parsed::Complete(_) => {
                let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(response).is_err() {
                    return;
                }
            }
            Parsed::Incomplete => match buffer.fill(&mut stream) {
                Ok(read) if read > 0 => {}
                _ => return,
            },
            Parsed::Invalid(_) => return,
        }
    }
}
