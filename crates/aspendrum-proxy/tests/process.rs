//! The proxy as a process on loopback, with the test acting as its agent: the readiness and metrics pages, and the
//! messages to the agent.

use aspendrum_model::compression::compress;
use aspendrum_model::message::{FromControl, ProxyEndpoint, Readiness, StateSection, ToControl};
use aspendrum_model::servers::ServerInstance;
use aspendrum_net::frames::{self, encode_frame};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const IP: Ipv4Addr = Ipv4Addr::new(127, 13, 0, 1);
const FIRST_PORT: u16 = 23_000;
const METRICS_PORT: u16 = 23_015;
const READINESS_PORT: u16 = 23_100;
const PROXY_PORT: u16 = 23_101;
/// `mem-mb` of the proxy, whose half is enough for fewer connections than [`SILENT_CLIENTS`].
const MEMORY_MB: usize = 4;
const SILENT_CLIENTS: usize = 200;
/// The number of readiness checks while clients take the rest of the memory.
const READINESS_CHECKS: usize = 50;
/// The number of threads of a proxy that has hardly any memory for another client.
const THREADS_WHEN_FULL: usize = 140;
/// An upper bound for each wait of the test.
const TIMEOUT: Duration = Duration::from_secs(30);
/// A configuration with the lowest version, which must not count as none.
const CONFIG: &str = r#"{"gen":"00000000","caps":{"hdr-bytes":16384,"body-bytes":1024,"hdr-ms":3000,"idle-ms":60000},
"ports":[{"vhost":"a.example","rules":[{"name":"r","type":"idem","goal-ms":500,"match":{"pfx":"/a/"},
"action":{"svc":"s1","limit-ms":2000,"tries":2}}]}],"pools":[{"name":"s1","check":"/healthz"}]}"#;

struct ProxyProcess {
    child: Child,
    settings: PathBuf,
}

impl ProxyProcess {
    fn start(agent: SocketAddr) -> ProxyProcess {
        let text = format!(
            r#"{{"self":{{"host-name":"edge-1","ip":"{IP}","az":"poa-a","geo":"poa","caps":{{"mem-mb":{MEMORY_MB},"nofile":1024}}}},
"net":{{"binds":{{"front":"{IP}:{PROXY_PORT}","readyz":"{IP}:{READINESS_PORT}"}},
"port-range":[{FIRST_PORT},{METRICS_PORT}],"zones":{{"poa-a":"poa"}},
"ways":{{"127.0.0.1:{}":"{agent}"}}}}}}"#,
            FIRST_PORT + 2
        );
        let name = format!("aspendrum-proxy-process-{}.json", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_aspendrum-proxy"))
            .arg("serve")
            .env("ASPENDRUM_SETTINGS", &settings)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        ProxyProcess { child, settings }
    }

    /// Waits until the process has this many threads; each accepted connection has one.
    fn await_threads(&self, count: usize) {
        let path = format!("/proc/{}/status", self.child.id());
        let started_at = Instant::now();
        loop {
            let status = std::fs::read_to_string(&path).unwrap();
            let line = status.lines().find(|line| line.starts_with("Threads:"));
            let threads = line.unwrap().split_whitespace().nth(1).unwrap();
            if threads.parse::<usize>().unwrap() >= count {
                return;
            }
            assert!(started_at.elapsed() < TIMEOUT, "{threads} threads");
            thread::yield_now();
        }
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns the response to a GET, once the process listens on the port.
fn get(port: u16, path: &str) -> String {
    let started_at = Instant::now();
    let mut stream = loop {
        match TcpStream::connect((IP, port)) {
            Ok(stream) => break stream,
            Err(e) => assert!(started_at.elapsed() < TIMEOUT, "{port}: {e}"),
        }
        thread::yield_now();
    };
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    )
    .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text.replace("\r\n", "\n")
}

fn empty_response(status: &str) -> String {
    format!("HTTP/1.1 {status}\nContent-Length: 0\nConnection: close\n\n")
}

/// Returns the updates that make a proxy ready: a configuration, servers, and the list of proxies.
fn updates(proxy_addr: SocketAddrV4) -> [StateSection; 3] {
    let server = ServerInstance {
        uid: "i-1".into(),
        service: "s1".into(),
        addr: SocketAddrV4::new(IP, 1),
        zone: "poa-a".into(),
        slots: 2,
        is_draining: false,
        slow_start_left_ms: 0,
    };
    let proxy = ProxyEndpoint {
        addr: proxy_addr,
        zone: "poa-a".into(),
        readiness: Readiness::Ready,
        is_current: true,
    };
    [
        StateSection::config(1, compress(CONFIG.as_bytes())),
        StateSection::Servers {
            age_ms: 0,
            list: vec![server],
        },
        StateSection::Proxies(vec![proxy]),
    ]
}

#[test]
fn readiness_and_metrics_pages_follow_what_the_agent_sends() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = ProxyProcess::start(listener.local_addr().unwrap());
    assert_eq!(
        get(READINESS_PORT, "/api/readyz"),
        empty_response("503 Service Unavailable")
    );
    assert_eq!(
        get(READINESS_PORT, "/readyz"),
        empty_response("404 Not Found")
    );
    assert_eq!(get(METRICS_PORT, "/other"), empty_response("404 Not Found"));
    assert_eq!(
        get(METRICS_PORT, "/metrics"),
        "HTTP/1.1 200 OK\nContent-Length: 0\nContent-Type: text/plain\nConnection: close\n\n"
    );
    let (mut agent, _) = listener.accept().unwrap();
    agent.set_read_timeout(Some(TIMEOUT)).unwrap();
    let proxy_addr = SocketAddrV4::new(IP, PROXY_PORT);
    let hello = ToControl::Hello {
        host: "edge-1".into(),
        proxy_addr,
        zone: "poa-a".into(),
    };
    assert_eq!(frames::read_frame::<ToControl>(&mut agent).unwrap(), hello);
    let ToControl::Heartbeat {
        readiness, applied, ..
    } = frames::read_frame::<ToControl>(&mut agent).unwrap()
    else {
        panic!("expected a heartbeat")
    };
    assert_eq!(
        (readiness, applied.revision.config),
        (Readiness::Closed, None)
    );
    let mut acknowledged = Vec::new();
    for (number, section) in (1..).zip(updates(proxy_addr)) {
        agent
            .write_all(&encode_frame(&FromControl::Update { number, section }))
            .unwrap();
    }
    loop {
        match frames::read_frame::<ToControl>(&mut agent).unwrap() {
            ToControl::Applied { number } => acknowledged.push(number),
            ToControl::Heartbeat {
                readiness: Readiness::Ready,
                applied,
                ..
            } if applied.revision.config == Some(0) => break,
            _ => {}
        }
    }
    assert_eq!(acknowledged, [1, 2, 3]);
    assert_eq!(get(READINESS_PORT, "/api/readyz"), empty_response("200 OK"));
    assert_eq!(
        get(PROXY_PORT, "/elsewhere"),
        "HTTP/1.1 400 Bad Request\nContent-Length: 0\nConnection: close\n\n",
        "clients are accepted"
    );
    // Guards against a platform that takes a proxy for dead: its check waited for the memory that clients hold.
    let connect = |_| TcpStream::connect((IP, PROXY_PORT)).unwrap();
    let _silent_clients: Vec<TcpStream> = (0..SILENT_CLIENTS).map(connect).collect();
    proxy.await_threads(THREADS_WHEN_FULL);
    for _ in 0..READINESS_CHECKS {
        assert_eq!(get(READINESS_PORT, "/api/readyz"), empty_response("200 OK"));
    }
}
