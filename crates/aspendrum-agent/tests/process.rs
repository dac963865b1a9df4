//! Runs an agent process on loopback, with a control node and a proxy simulated by the test. Verifies which updates the
//! agent forwards and acknowledges, and when it disconnects from its control node.

use aspendrum_model::compression::compress;
use aspendrum_model::config::Config;
use aspendrum_model::message::{
    ControlAddress, Envelope, FromControl, ProxyEndpoint, Readiness, StateDigest, StateSection,
    ToControl,
};
use aspendrum_net::frames::{encode_frame, read_frame};
use aspendrum_reconcile::state_digest;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const AGENT_IP: Ipv4Addr = Ipv4Addr::new(127, 13, 1, 1);
const CONTROL_IP: Ipv4Addr = Ipv4Addr::new(127, 13, 1, 9);
const FIRST_PORT: u16 = 23_200;
const PROXY_PORT: u16 = FIRST_PORT + 2;
const SNAPSHOT_PORT: u16 = FIRST_PORT + 4;
/// The timeout of all waits in this test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// A configuration with the lowest version, which must not count as none.
const CONFIG: &str = r#"{"gen":"00000000","caps":{"hdr-bytes":16384,"body-bytes":1024,"hdr-ms":3000,"idle-ms":15000},
"ports":[{"vhost":"a.example","rules":[{"name":"r","type":"idem","goal-ms":500,"match":{"pfx":"/a/"},
"action":{"svc":"s1","limit-ms":2000,"tries":2}}]}],"pools":[{"name":"s1","check":"/healthz"}]}"#;

struct AgentProcess {
    child: Child,
    settings: PathBuf,
}

impl AgentProcess {
    fn start(control: SocketAddr) -> AgentProcess {
        let text = format!(
            r#"{{"self":{{"host-name":"edge-1","ip":"{AGENT_IP}","az":"poa-a","geo":"poa"}},
"net":{{"port-range":[{FIRST_PORT},{}],"zones":{{"poa-a":"poa"}},"seeds":["{CONTROL_IP}:80"],
"ways":{{"{CONTROL_IP}:{FIRST_PORT}":"{control}"}}}}}}"#,
            FIRST_PORT + 15
        );
        let name = format!("aspendrum-agent-process-{}.json", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_aspendrum-agent"))
            .arg("serve")
            .env("ASPENDRUM_SETTINGS", &settings)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        AgentProcess { child, settings }
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Connects to a port of the agent, retrying until the agent listens on it.
fn connect(ip: Ipv4Addr, port: u16) -> TcpStream {
    let started_at = Instant::now();
    let stream = loop {
        match TcpStream::connect((ip, port)) {
            Ok(stream) => break stream,
            Err(e) => assert!(started_at.elapsed() < TEST_TIMEOUT, "{port}: {e}"),
        }
        thread::yield_now();
    };
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

fn send(stream: &mut TcpStream, message: &FromControl) {
    stream.write_all(&encode_frame(message)).unwrap();
}

fn send_to_agent(stream: &mut TcpStream, message: &ToControl) {
    stream.write_all(&encode_frame(message)).unwrap();
}

/// Returns the next message from the agent to control other than a heartbeat. Replies to heartbeats with `decided`.
fn next_to_control(control: &mut TcpStream, decided: StateDigest) -> ToControl {
    let started_at = Instant::now();
    loop {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "only heartbeats were received"
        );
        let Envelope::Agent(message) = read_frame::<Envelope>(control).unwrap() else {
            panic!("expected a message from an agent")
        };
        let ToControl::Heartbeat { sent_at_ms, .. } = message else {
            return message;
        };
        let reply = FromControl::HeartbeatReply {
            sent_at_ms,
            majority_age: Some(10),
            decided,
            control_reachable: true,
            half_of_agents_isolated: false,
        };
        // The agent may have closed the connection in the meantime.
        let _ = control.write_all(&encode_frame(&reply));
    }
}

/// Returns the next update that the agent sends to its proxy.
fn next_update(proxy: &mut TcpStream) -> (u64, StateSection) {
    loop {
        if let FromControl::Update { number, section } = read_frame(proxy).unwrap() {
            return (number, section);
        }
    }
}

fn proxy_address() -> SocketAddrV4 {
    SocketAddrV4::new(AGENT_IP, 8080)
}

fn sections() -> Vec<StateSection> {
    vec![
        StateSection::config(0, compress(CONFIG.as_bytes())),
        StateSection::EvacuatedZones {
            revision: 7,
            zones: vec!["poa-b".into()],
        },
        StateSection::Proxies(vec![ProxyEndpoint {
            addr: proxy_address(),
            zone: "poa-a".into(),
            readiness: Readiness::Ready,
            is_current: true,
        }]),
        StateSection::ControlNodes(vec![ControlAddress {
            ip: CONTROL_IP,
            zone: "poa-a".into(),
            is_reachable: true,
        }]),
    ]
}

#[test]
fn updates_are_forwarded_to_the_proxy_and_acknowledged_to_control() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _agent = AgentProcess::start(listener.local_addr().unwrap());
    let mut control = accept(&listener);
    let mut proxy = connect(Ipv4Addr::LOCALHOST, PROXY_PORT);
    let hello = ToControl::Hello {
        host: "edge-1".into(),
        proxy_addr: proxy_address(),
        zone: "poa-a".into(),
    };
    send_to_agent(&mut proxy, &hello);
    let empty = state_digest(None, 0, &[]);
    assert_eq!(next_to_control(&mut control, empty), hello);

    // Each update is forwarded with a sequence number assigned by the agent.
    for (number, section) in (11..).zip(sections()) {
        let update = FromControl::Update { number, section };
        send(&mut control, &update);
    }
    for (number, section) in (1..).zip(sections()) {
        assert_eq!(next_update(&mut proxy), (number, section));
    }
    // Updates are acknowledged to control once the proxy has applied all of them.
    send_to_agent(&mut proxy, &ToControl::Applied { number: 3 });
    send_to_agent(&mut proxy, &ToControl::Applied { number: 4 });
    let config = Config::read(CONFIG.as_bytes()).unwrap();
    let decided = state_digest(Some(&config), 7, &["poa-b".into()]);
    let acknowledgement = next_to_control(&mut control, decided);
    assert_eq!(acknowledgement, ToControl::Applied { number: 14 });

    // A section that is not newer or has an invalid checksum is not forwarded.
    let config = sections().remove(0);
    let corrupt = StateSection::Config {
        version: 2,
        compressed_text: compress(CONFIG.as_bytes()),
        checksum: 1,
    };
    let older = StateSection::EvacuatedZones {
        revision: 6,
        zones: Vec::new(),
    };
    let newer = StateSection::EvacuatedZones {
        revision: 8,
        zones: Vec::new(),
    };
    for (number, section) in (15..).zip([config, corrupt, older, newer.clone()]) {
        send(&mut control, &FromControl::Update { number, section });
    }
    // Sections that are not forwarded are acknowledged immediately, so that control can send the next ones.
    for number in 15..=17 {
        let acknowledgement = next_to_control(&mut control, decided);
        assert_eq!(acknowledgement, ToControl::Applied { number });
    }
    assert_eq!(next_update(&mut proxy), (5, newer.clone()));

    // A snapshot contains all sections that the agent stores.
    let mut snapshot = connect(AGENT_IP, SNAPSHOT_PORT);
    let mut expected_sections = sections();
    expected_sections[1] = newer;
    for (number, section) in (1..).zip(expected_sections) {
        let expected = FromControl::Update { number, section };
        assert_eq!(read_frame::<FromControl>(&mut snapshot).unwrap(), expected);
    }
    assert!(
        read_frame::<FromControl>(&mut snapshot).is_err(),
        "the snapshot ends after the last section"
    );

    // If the decided state is ahead of the received one, the agent reconnects, since a new connection starts with a
    // snapshot.
    let mut ahead = decided;
    ahead.revision.evacuation = 9;
    assert_eq!(
        next_to_control(&mut control, ahead),
        ToControl::Disconnecting
    );
    let mut control = accept(&listener);
    assert_eq!(next_to_control(&mut control, decided), hello);
}
