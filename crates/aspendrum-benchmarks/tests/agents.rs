//! Hollow agents before a control of the test's own: they say and heed what agents do.

use aspendrum_benchmarks::hollow::agent::{self, Counts};
use aspendrum_model::message::{
    Envelope, FromControl, Readiness, Revision, StateDigest, StateSection, ToControl,
};
use aspendrum_net::frames;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(20);

fn next(link: &mut TcpStream) -> ToControl {
    match frames::read_frame::<Envelope>(link).unwrap() {
        Envelope::Agent(up) => up,
        Envelope::Peer(()) => panic!("no agent's word"),
    }
}

fn taken(listener: &TcpListener) -> TcpStream {
    let (link, _) = listener.accept().unwrap();
    link.set_read_timeout(Some(LIMIT)).unwrap();
    link
}

fn of(config: u32) -> StateDigest {
    StateDigest {
        revision: Revision {
            config,
            evacuation: 0,
        },
        ..StateDigest::default()
    }
}

/// Danger: hollow agents that take less than real ones do flatter control's figures.
#[test]
fn it_greets_acknowledges_and_leaves_whoever_knows_of_more_than_it_told() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let counts = Arc::new(Counts::default());
    let agents = agent::start(1, &[listener.local_addr().unwrap()], &counts).unwrap();
    agents[0].run(true);
    let mut link = taken(&listener);
    assert!(matches!(next(&mut link), ToControl::Hello { host, .. } if host == "edge-0"));
    let say = |mut link: &TcpStream, down: FromControl| {
        link.write_all(&frames::encode_frame(&down)).unwrap()
    };
    say(
        &link,
        FromControl::Update {
            number: 4,
            section: StateSection::config(7, vec![1, 2, 3]),
        },
    );
    let stamp = loop {
        if let ToControl::Heartbeat {
            sent_at_ms: stamp,
            readiness: Readiness::Ready,
            ..
        } = next(&mut link)
        {
            break stamp;
        }
    };
    let beat = |sent_at_ms, config| FromControl::Heartbeat {
        sent_at_ms,
        majority_age: Some(1),
        decided: of(config),
        control_reachable: true,
        most_agents_isolated: false,
    };
    say(&link, beat(stamp, 7));
    // What it says to be in force follows what it was told was decided, once it holds that.
    loop {
        if let ToControl::Heartbeat { applied, .. } = next(&mut link) {
            if applied == of(7) {
                break;
            }
        }
    }
    assert_eq!((agents[0].held().config, agents[0].linked()), (7, true));
    assert_eq!(counts.frames[0].load(Relaxed), 1);
    // Something newer was decided, and never told: it ends the link and begins anew.
    say(&link, beat(stamp, 8));
    while frames::read_frame::<Envelope>(&mut link).is_ok() {}
    let mut link = taken(&listener);
    assert!(matches!(next(&mut link), ToControl::Hello { .. }));
    assert_eq!(
        (counts.missed.load(Relaxed), counts.links.load(Relaxed)),
        (1, 2)
    );
}

/// Danger: agents that wait for ever on a machine of control that is frozen.
#[test]
fn it_leaves_a_machine_that_says_nothing() {
    let [mute, other] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let counts = Arc::new(Counts::default());
    let control = [&mute, &other].map(|l| l.local_addr().unwrap());
    let agents = agent::start(1, &control, &counts).unwrap();
    agents[0].run(true);
    let mut link = taken(&mute);
    assert!(matches!(next(&mut link), ToControl::Hello { .. }));
    let mut link = taken(&other);
    assert!(matches!(next(&mut link), ToControl::Hello { .. }));
    assert!(counts.silent.load(Relaxed) >= 1);
}
