//! A proxy on loopback with scripted servers.

#![allow(dead_code)]

use aspendrum_model::compression::compress;
use aspendrum_model::message::{ProxyEndpoint, Readiness, StateSection};
use aspendrum_model::servers::ServerInstance;
use aspendrum_model::settings::Settings;
use aspendrum_net::http1::{self, MessageLimits, Parsed, Request};
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_proxy::session::ClientSession;
use aspendrum_proxy::{periodic, request, ProxyState};
use aspendrum_reconcile::MajorityReport;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

pub(crate) const MESSAGE_LIMITS: MessageLimits = MessageLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
};
pub(crate) const CONFIG: &str = r#"{"gen":"00000001","caps":{"hdr-bytes":16384,"body-bytes":65536,"hdr-ms":3000,"idle-ms":15000},
"tenants":[{"name":"ann","keys":["k1"],"prio":0,"rate-s":0}],
"ports":[{"vhost":"a.example","rules":[
{"name":"read","type":"idem","goal-ms":800,"match":{"pfx":"/read/"},"action":{"svc":"s1","limit-ms":2000,"tries":3}},
{"name":"send","type":"mutating","goal-ms":800,"match":{"pfx":"/send/"},"action":{"svc":"s1","limit-ms":2000,"tries":3}},
{"name":"open","type":"idem","public":true,"goal-ms":800,"match":{"pfx":"/open/"},"action":{"svc":"s1","limit-ms":2000,"tries":3}}]}],
"pools":[{"name":"s1","check":"/healthz","warmup-s":3.0,"warm-rate-s":10.0}]}"#;

/// Returns the response to the n-th request, in which `{id}` stands for the request's `Try-Id`. `None` closes the
/// connection.
pub(crate) type Script = fn(usize) -> Option<&'static str>;

/// A proxy in front of scripted servers.
pub(crate) struct TestProxy {
    pub(crate) state: Arc<ProxyState>,
    pub(crate) received_requests: Arc<Mutex<Vec<String>>>,
    /// How often each request ran, by `Try-Id`.
    pub(crate) run_counts: Arc<Mutex<HashMap<String, u32>>>,
    /// The client connection of all requests, and the listener that keeps its other end open.
    connection: TcpStream,
    _listener: TcpListener,
}

pub(crate) fn test_proxy(servers: usize, script: Script) -> TestProxy {
    test_proxy_with("\"retry-slack\":100", servers, script)
}

pub(crate) fn test_proxy_with(bounds: &str, servers: usize, script: Script) -> TestProxy {
    let received_requests = Arc::new(Mutex::new(Vec::new()));
    let (run_counts, count) = (
        Arc::new(Mutex::new(HashMap::new())),
        Arc::new(Mutex::new(0)),
    );
    let listeners: Vec<TcpListener> = (0..servers)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    for (n, listener) in listeners.into_iter().enumerate() {
        let (received_requests, run_counts, count) = (
            Arc::clone(&received_requests),
            Arc::clone(&run_counts),
            Arc::clone(&count),
        );
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (received_requests, run_counts, count) =
                    (received_requests.clone(), run_counts.clone(), count.clone());
                thread::spawn(move || {
                    serve(n, &stream, script, &received_requests, &run_counts, &count)
                });
            }
        });
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    TestProxy {
        state: proxy(bounds, CONFIG, &addresses),
        received_requests,
        run_counts,
        connection,
        _listener: listener,
    }
}

/// Returns a proxy with the given configuration and servers `i-0`, `i-1` and so on, and with a report from
/// control that this is the decided state.
pub(crate) fn proxy(bounds: &str, config: &str, servers: &[SocketAddr]) -> Arc<ProxyState> {
    proxy_with_caps("", bounds, config, servers)
}

/// Like [`proxy`], with the given resource limits of the process.
pub(crate) fn proxy_with_caps(
    caps: &str,
    bounds: &str,
    config: &str,
    servers: &[SocketAddr],
) -> Arc<ProxyState> {
    let settings = r#"{"self":{"host-name":"e1","ip":"127.0.0.1","az":"poa-a","geo":"poa","caps":{CAPS}},"net":{"binds":{"front":"127.0.0.1:1"},
        "port-range":[7600,7615],"zones":{"poa-a":"poa"}},"terms":{"bounds":{"apply-ms":600000,BOUNDS}}}"#;
    let settings = settings.replace("BOUNDS", bounds).replace("CAPS", caps);
    let settings = Settings::read(settings.as_bytes());
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let state = Arc::new(ProxyState::new(&settings.unwrap(), socket));
    let list = servers.iter().enumerate().map(|(n, addr)| ServerInstance {
        uid: format!("i-{n}"),
        service: "s1".into(),
        addr: addr.to_string().parse().unwrap(),
        zone: "poa-a".into(),
        slots: 2,
        is_draining: false,
        slow_start_left_ms: 0,
    });
    let proxy_endpoint = ProxyEndpoint {
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "poa-a".into(),
        readiness: Readiness::Ready,
        is_current: true,
    };
    state
        .dispatcher
        .apply(StateSection::config(1, compress(config.as_bytes())));
    state.dispatcher.apply(StateSection::Servers {
        age_ms: 0,
        list: list.collect(),
    });
    // Without the list of proxies, a proxy would use the whole of every quota.
    assert!(!state.dispatcher.is_configured());
    state
        .dispatcher
        .apply(StateSection::Proxies(vec![proxy_endpoint]));
    assert!(state.dispatcher.is_configured() || servers.is_empty());
    // A report as from control, which does not include a lease on credentials.
    state.update_applied_digest();
    state.consistency.record_report(
        0.0,
        Some(MajorityReport {
            decided: state.consistency.applied(),
            as_of: 0.0,
        }),
        false,
    );
    let periodic_state = state.clone();
    thread::spawn(move || periodic::run(&periodic_state));
    state
}

pub(crate) fn serve(
    server: usize,
    stream: &TcpStream,
    script: Script,
    received_requests: &Mutex<Vec<String>>,
    run_counts: &Mutex<HashMap<String, u32>>,
    count: &Mutex<usize>,
) {
    let mut ring = RingBuffer::new(1024, 1 << 20);
    loop {
        match http1::parse_request(&mut ring, &MESSAGE_LIMITS) {
            Parsed::Incomplete => match ring.fill(&mut &*stream) {
                Ok(n) if n > 0 => {}
                _ => return,
            },
            Parsed::Invalid(status) => panic!("{status}"),
            Parsed::Complete(request) if request.path == "/healthz" => {
                let health_response = format!(
                    "HTTP/1.1 200 OK\r\nServer-Id: i-{server}\r\nContent-Length: 0\r\n\r\n"
                );
                if (&mut &*stream)
                    .write_all(health_response.as_bytes())
                    .is_err()
                {
                    return;
                }
            }
            Parsed::Complete(request) => {
                let n = {
                    let mut count = count.lock().unwrap();
                    *count += 1;
                    *count - 1
                };
                received_requests.lock().unwrap().push(transcript(&request));
                let id = request.headers.iter().find(|h| h.0 == "Try-Id").unwrap();
                let id = String::from_utf8(id.1.clone()).unwrap();
                let text = script(n);
                if !text.is_some_and(|t| t.contains("Not-Run") || t.contains(" 421 ")) {
                    *run_counts.lock().unwrap().entry(id.clone()).or_insert(0) += 1;
                }
                let Some(text) = text else { return };
                let text = text.replace("{id}", &id);
                let sent = (&mut &*stream).write_all(text.replace('\n', "\r\n").as_bytes());
                if sent.is_err() || text.contains("(close)") {
                    return;
                }
            }
        }
    }
}

/// Formats a request for comparison, without the parts that differ between runs.
pub(crate) fn transcript(request: &Request) -> String {
    let headers = request.headers.iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value);
        match name.as_str() {
            "Budget-Ms" if value.parse::<u64>().unwrap() <= 2000 => format!("{name}: (left)"),
            "Want-Server" => format!("{name}: (one)"),
            _ => format!("{name}: {value}"),
        }
    });
    let headers: Vec<String> = headers.collect();
    format!(
        "{} {} | {} | {}",
        request.method,
        request.path,
        headers.join("; "),
        String::from_utf8_lossy(&request.body)
    )
}

impl TestProxy {
    pub(crate) fn request(&self, text: &str) -> String {
        let mut ring = RingBuffer::new(1024, 1 << 20);
        ring.write_all(text.replace('\n', "\r\n").as_bytes())
            .unwrap();
        let Parsed::Complete(request) = http1::parse_request(&mut ring, &MESSAGE_LIMITS) else {
            panic!("{text}")
        };
        let client = ClientSession::new(self.connection.try_clone().unwrap());
        let response = request::handle(&self.state, &client, &request, Instant::now());
        String::from_utf8(response.encode(response.closes_connection(false, false)))
            .unwrap()
            .replace("\r\n", "\n")
    }

    pub(crate) fn received(&self) -> Vec<String> {
        self.received_requests.lock().unwrap().clone()
    }
}

pub(crate) const READ: &str =
    "GET /read/1?x=2 HTTP/1.1\nHost: a.example\nTry-Id: t1\nBudget-Ms: 2000\nCredential: k1\n\
    Tenant: bob\nWant-Server: mine\nX-More: yes\nConnection: x-hop\nX-Hop: 1\n\n";
pub(crate) const SEND: &str =
    "POST /send/1 HTTP/1.1\nHost: a.example\nTry-Id: t2\nBudget-Ms: 2000\nCredential: k1\n\
    Transfer-Encoding: chunked\n\n3\nabc\n0\n\n";
pub(crate) const OK_RESPONSE: &str =
    "HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 3e1b.07\nServer-Load: 1,0,2\nContent-Length: 4\n\nbody";
pub(crate) const OK_RESPONSE_T1: &str =
    "HTTP/1.1 200 OK\nTry-Id: t1\nSeal: 3e1b.07\nContent-Length: 4\n\nbody";
pub(crate) const OK_RESPONSE_T2: &str =
    "HTTP/1.1 200 OK\nTry-Id: t2\nSeal: 3e1b.07\nContent-Length: 4\n\nbody";
