//! Checks that simulated agents follow the protocol of real agents. The tests act as control nodes.

use aspendrum_benchmarks::simulated_fleet::agent::{spawn_agents, FleetCounters};
use aspendrum_model::message::{
    Envelope, FromControl, Readiness, Revision, StateDigest, StateSection, ToControl,
};
use aspendrum_net::frames;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

fn next_message(stream: &mut TcpStream) -> ToControl {
    match frames::read_frame::<Envelope>(stream).unwrap() {
        Envelope::Agent(message) => message,
        Envelope::Peer(()) => panic!("not an agent's message"),
    }
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

fn digest_of(config: u32) -> StateDigest {
    StateDigest {
        revision: Revision {
            config: Some(config),
            evacuation: 0,
        },
        ..StateDigest::default()
    }
}

/// Guards against simulated agents that cause less load on control than real agents, which would make the figures too
/// low.
#[test]
fn an_agent_sends_hello_acknowledges_updates_and_reconnects_after_an_update_gap() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let counters = Arc::new(FleetCounters::default());
    let agents = spawn_agents(1, &[listener.local_addr().unwrap()], &counters).unwrap();
    agents[0].start();
    let mut stream = accept(&listener);
    assert!(matches!(next_message(&mut stream), ToControl::Hello { host, .. } if host == "edge-0"));
    let send = |mut stream: &TcpStream, message: FromControl| {
        stream.write_all(&frames::encode_frame(&message)).unwrap()
    };
    send(
        &stream,
        FromControl::Update {
            number: 4,
            section: StateSection::config(7, vec![1, 2, 3]),
        },
    );
    let sent_at_ms = loop {
        if let ToControl::Heartbeat {
            sent_at_ms,
            readiness: Readiness::Ready,
            ..
        } = next_message(&mut stream)
        {
            break sent_at_ms;
        }
    };
    let heartbeat = |sent_at_ms, config| FromControl::HeartbeatReply {
        sent_at_ms,
        majority_age: Some(1),
        decided: digest_of(config),
        control_reachable: true,
        half_of_agents_isolated: false,
    };
    send(&stream, heartbeat(sent_at_ms, 7));
    // The agent reports the decided digest as applied once it has that state.
    loop {
        if let ToControl::Heartbeat { applied, .. } = next_message(&mut stream) {
            if applied == digest_of(7) {
                break;
            }
        }
    }
    assert_eq!(
        (agents[0].applied().config_version, agents[0].is_connected()),
        (Some(7), true)
    );
    assert_eq!(counters.received_frames[0].load(Relaxed), 1);
    // A newer state was decided but never sent: the agent closes the connection and opens another one.
    send(&stream, heartbeat(sent_at_ms, 8));
    while frames::read_frame::<Envelope>(&mut stream).is_ok() {}
    let mut stream = accept(&listener);
    assert!(matches!(next_message(&mut stream), ToControl::Hello { .. }));
    assert_eq!(
        (
            counters.update_gaps.load(Relaxed),
            counters.connections.load(Relaxed)
        ),
        (1, 2)
    );
}

/// An agent must not wait indefinitely for a control node that accepts connections but does not respond.
#[test]
fn an_agent_disconnects_from_a_silent_control_node() {
    let [silent_node, other_node] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let counters = Arc::new(FleetCounters::default());
    let control = [&silent_node, &other_node].map(|l| l.local_addr().unwrap());
    let agents = spawn_agents(1, &control, &counters).unwrap();
    agents[0].start();
    let mut stream = accept(&silent_node);
    assert!(matches!(next_message(&mut stream), ToControl::Hello { .. }));
    let mut stream = accept(&other_node);
    assert!(matches!(next_message(&mut stream), ToControl::Hello { .. }));
    assert!(counters.silence_timeouts.load(Relaxed) >= 1);
}

/// A control node cannot identify an agent whose heartbeat arrives before its hello. Heartbeats are sent by a different
/// thread than the hello, so many agents are needed to make the race likely.
#[test]
fn an_agent_sends_hello_before_any_heartbeat() {
    const AGENTS: usize = 400;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let counters = Arc::new(FleetCounters::default());
    let control = [listener.local_addr().unwrap()];
    let agents = spawn_agents(AGENTS, &control, &counters).unwrap();
    agents.iter().for_each(|agent| agent.start());
    for _ in 0..AGENTS {
        let mut stream = accept(&listener);
        assert!(matches!(next_message(&mut stream), ToControl::Hello { .. }));
    }
}
