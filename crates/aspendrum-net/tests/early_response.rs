//! Calls whose server answers before it has read the whole request.

use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_client::HttpClient;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The size of a body that no socket buffers hold.
const BODY_BYTES: usize = 16 << 20;
const LIMITS: MessageLimits = MessageLimits {
    head_bytes: 4 << 10,
    body_bytes: BODY_BYTES,
};
const TIMEOUT: Duration = Duration::from_secs(40);
const PROMPT: Duration = Duration::from_secs(15);

/// What a server does after its answer.
#[derive(Clone, Copy, Debug)]
enum After {
    KeepOpen,
    HalfClose,
    Reset,
}

/// Starts a server that answers each connection after its first bytes, with the number of the connection, and then reads
/// no more.
fn start_server(after: After) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!()
    };
    thread::spawn(move || {
        let mut held: Vec<TcpStream> = Vec::new();
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            stream.read_exact(&mut [0; 64]).unwrap();
            let answer = format!("HTTP/1.1 413 Long\r\nContent-Length: 1\r\n\r\n{number}");
            stream.write_all(answer.as_bytes()).unwrap();
            match after {
                After::KeepOpen => held.push(stream),
                After::HalfClose => {
                    stream.shutdown(Shutdown::Write).unwrap();
                    held.push(stream);
                }
                After::Reset => {}
            }
        }
    });
    address
}

/// Guards against a call that waits for a server to read its body, or fails, though the server has answered; and against
/// a next call that the server takes for the rest of the body.
#[test]
fn an_early_answer_ends_a_call_and_the_next_one_uses_another_connection() {
    for after in [After::KeepOpen, After::HalfClose, After::Reset] {
        let mut client = HttpClient::new(start_server(after), LIMITS);
        for number in ["0", "1"] {
            let started_at = Instant::now();
            let body = vec![b'x'; BODY_BYTES];
            let response = client.call("POST", "/api/Cfg.Set", &body, TIMEOUT).unwrap();
            assert_eq!(response.status, 413, "{after:?}");
            assert_eq!(&response.body[..], number.as_bytes(), "{after:?}");
            assert!(started_at.elapsed() < PROMPT, "{after:?}");
        }
    }
}
