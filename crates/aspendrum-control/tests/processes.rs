//! Control as processes on loopback, killed and robbed of disks: what was acknowledged is shown again.

use aspendrum_model::compression::decompress;
use aspendrum_model::message::{
    Envelope, FromControl, ProxyEndpoint, Readiness, StateDigest, StateSection, ToControl,
};
use aspendrum_net::frames;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(30);

fn config(version: u32) -> String {
    format!(
        r#"{{"gen":"{version:08x}","caps":{{"hdr-bytes":16384,"body-bytes":1024,"hdr-ms":3000,"idle-ms":15000}},
"ports":[{{"vhost":"a.example","rules":[{{"name":"r","type":"idem","goal-ms":500,"match":{{"pfx":"/a/"}},
"action":{{"svc":"s","limit-ms":2000,"tries":2}}}}]}}],"pools":[{{"name":"s","check":"/healthz"}}]}}"#
    )
}

/// Three machines of control, each at its own loopback address.
struct Control {
    folder: PathBuf,
    net: u8,
    ports: [u16; 2],
    up: [Option<Child>; 3],
    init: bool,
}

impl Control {
    fn start(net: u8) -> Control {
        let folder =
            std::env::temp_dir().join(format!("aspendrum-control-{}-{net}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let mut control = Control {
            folder,
            net,
            ports: [21_000, 21_050],
            up: [const { None }; 3],
            init: true,
        };
        (0..3).for_each(|n| control.up(n));
        control.init = false;
        control
    }

    fn ip(&self, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 9, self.net, n as u8 + 1)
    }

    fn disk(&self, n: usize) -> PathBuf {
        self.folder.join(format!("disk-{n}"))
    }

    fn up(&mut self, n: usize) {
        let [first, ctl] = self.ports;
        let seeds: Vec<String> = (0..3)
            .map(|n| format!("\"{}:{ctl}\"", self.ip(n)))
            .collect();
        let settings = format!(
            r#"{{"self":{{"host-name":"core-{n}","ip":"{ip}","az":"a","geo":"g","init":{},"datadir":"{}"}},
"net":{{"binds":{{"ctl":"{ip}:{ctl}"}},"port-range":[{first},{}],"seeds":[{}],"zones":{{"a":"g"}}}}}}"#,
            self.init,
            self.disk(n).display(),
            first + 15,
            seeds.join(","),
            ip = self.ip(n),
        );
        let file = self.folder.join(format!("settings-{n}.json"));
        std::fs::write(&file, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_aspendrum-control"))
            .arg("serve")
            .env("ASPENDRUM_SETTINGS", &file)
            .stderr(Stdio::null())
            .spawn();
        self.up[n] = Some(child.unwrap());
    }

    fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.up[n].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// One call; the status and the body, or nothing.
    fn call(&self, n: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let at = SocketAddr::from((self.ip(n), self.ports[1]));
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        Some((head.get(9..12)?.parse().ok()?, body.to_string()))
    }

    /// Calls until it is answered with 200.
    fn done(&self, n: usize, method: &str, path: &str, body: &str) -> String {
        let begun = Instant::now();
        loop {
            match self.call(n, method, path, body) {
                Some((200, text)) => return text,
                other => assert!(begun.elapsed() < LIMIT, "{n} {path}: {other:?}"),
            }
            thread::yield_now();
        }
    }

    /// That machine has come to vote again, and holds all that was acknowledged: the next one may be lost.
    fn votes(&self, n: usize) {
        let begun = Instant::now();
        while !self
            .done(n, "GET", "/api/Nodes", "")
            .contains(r#""joined":true"#)
        {
            assert!(begun.elapsed() < LIMIT);
            thread::yield_now();
        }
    }

    fn shows(&self, n: usize, text: &str) {
        let begun = Instant::now();
        while self.done(n, "GET", "/api/Cfg.Show", "") != text {
            assert!(begun.elapsed() < LIMIT);
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        (0..3).for_each(|n| self.kill(n));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn what_was_acknowledged_outlives_a_kill_of_all_and_a_lost_disk() {
    let mut control = Control::start(1);
    control.done(0, "POST", "/api/Cfg.Set", &config(7));
    (0..3).for_each(|n| control.shows(n, &config(7)));
    // An older one is acknowledged and changes nothing; an invalid one is refused.
    control.done(1, "POST", "/api/Cfg.Set", &config(3));
    control.shows(2, &config(7));
    let bare = config(9).replace("/a/", "a/");
    assert_eq!(
        control.call(1, "POST", "/api/Cfg.Set", &bare).unwrap().0,
        400
    );
    (0..3).for_each(|n| control.kill(n));
    (0..3).for_each(|n| control.up(n));
    (0..3).for_each(|n| control.shows(n, &config(7)));
    // One loses its disk and comes back while the others are there; then another goes for good: what is left
    // holds it only if the first was healed.
    control.kill(0);
    std::fs::remove_dir_all(control.disk(0)).unwrap();
    control.up(0);
    control.shows(0, &config(7));
    control.votes(0);
    control.done(0, "POST", "/api/Evac.Begin/a", "");
    control.kill(1);
    control.kill(2);
    std::fs::remove_dir_all(control.disk(2)).unwrap();
    control.up(1);
    control.shows(0, &config(7));
    control.shows(1, &config(7));
}

#[test]
fn a_minority_acknowledges_nothing() {
    let mut control = Control::start(2);
    control.done(0, "POST", "/api/Cfg.Set", &config(2));
    control.kill(1);
    control.kill(2);
    assert_eq!(
        control
            .call(0, "POST", "/api/Cfg.Set", &config(5))
            .unwrap()
            .0,
        503
    );
    assert_eq!(control.call(0, "GET", "/api/Cfg.Show", "").unwrap().0, 503);
    assert_eq!(
        control.call(0, "POST", "/api/Evac.Begin/a", "").unwrap().0,
        503
    );
    assert_eq!(
        control.call(0, "POST", "/api/Evac.Begin/b", "").unwrap().0,
        404
    );
    // What got no clear answer may be in force once a majority is back, and is taken when it is sent again.
    control.up(1);
    control.done(1, "POST", "/api/Cfg.Set", &config(5));
    control.shows(0, &config(5));
}

/// Danger: two operators are both told that their text is in force under one number; the order that was taken is
/// refused when its answer was lost and it is sent again.
#[test]
fn of_two_operators_with_one_number_one_is_told_so_for_ever() {
    let mut control = Control::start(4);
    control.done(0, "POST", "/api/Cfg.Set", &config(1));
    let texts = [config(2), config(2).replace("500", "700")];
    let answers = thread::scope(|scope| {
        let (control, texts) = (&control, &texts);
        let call = move |n: usize| loop {
            match control.call(2 * n, "POST", "/api/Cfg.Set", &texts[n]) {
                Some((status @ (200 | 409), _)) => return status,
                other => assert!(matches!(other, None | Some((503, _))), "{other:?}"),
            }
        };
        [0, 1]
            .map(|n| scope.spawn(move || call(n)))
            .map(|t| t.join().unwrap())
    });
    let winner = answers.iter().position(|s| *s == 200).unwrap();
    assert_eq!(answers[1 - winner], 409);
    (0..3).for_each(|n| control.shows(n, &texts[winner]));
    let again = |control: &Control| {
        for n in 0..3 {
            control.done(n, "POST", "/api/Cfg.Set", &texts[winner]);
            assert_eq!(
                control
                    .call(n, "POST", "/api/Cfg.Set", &texts[1 - winner])
                    .unwrap()
                    .0,
                409,
                "{n}"
            );
        }
    };
    again(&control);
    // Also after higher numbers, and after all were killed.
    control.done(1, "POST", "/api/Cfg.Set", &config(9));
    again(&control);
    (0..3).for_each(|n| control.kill(n));
    (0..3).for_each(|n| control.up(n));
    control.shows(0, &config(9));
    again(&control);
}

/// What control says to an agent, until a word that ends it.
fn told(link: &mut TcpStream, ends: impl Fn(&FromControl) -> bool) -> Vec<FromControl> {
    let mut all = Vec::new();
    loop {
        let down: FromControl = frames::read_frame(link).unwrap();
        let over = ends(&down);
        all.push(down);
        if over {
            return all;
        }
    }
}

fn version(down: &FromControl) -> Option<u32> {
    match down {
        FromControl::Update {
            section: StateSection::Config { version, .. },
            ..
        } => Some(*version),
        _ => None,
    }
}

/// Danger: a version that is told twice, out of order, before a majority holds it, or after a newer one.
#[test]
fn an_agent_is_told_each_settled_version_once_and_in_order() {
    let control = Control::start(3);
    control.done(0, "POST", "/api/Cfg.Set", &config(4));
    let mut link = TcpStream::connect((control.ip(1), control.ports[0])).unwrap();
    link.set_read_timeout(Some(LIMIT)).unwrap();
    let say = |mut link: &TcpStream, up: ToControl| {
        link.write_all(&frames::encode_frame(&Envelope::<()>::Agent(up)))
            .unwrap()
    };
    let proxy_addr = "10.0.0.9:80".parse().unwrap();
    say(
        &link,
        ToControl::Hello {
            host: "e1".into(),
            proxy_addr,
            zone: "a".into(),
        },
    );
    let mut all = told(&mut link, |d| version(d) == Some(4));
    let Some(FromControl::Update {
        section: StateSection::Config {
            compressed_text: text,
            ..
        },
        ..
    }) = all.last()
    else {
        panic!("{all:?}")
    };
    assert_eq!(decompress(text).unwrap(), config(4).into_bytes());
    // An older one is acknowledged and is no news; what a beat brings back tells how old control's word is.
    control.done(2, "POST", "/api/Cfg.Set", &config(3));
    control.done(0, "POST", "/api/Cfg.Set", &config(6));
    all.extend(told(&mut link, |d| version(d) == Some(6)));
    say(
        &link,
        ToControl::Heartbeat {
            sent_at_ms: 42,
            readiness: Readiness::Ready,
            applied: StateDigest::default(),
        },
    );
    let is_answer = |d: &FromControl| matches!(d, FromControl::Heartbeat { sent_at_ms: 42, majority_age: Some(age), decided: of, .. } if *age < 5000 && of.revision.config == 6);
    all.extend(told(&mut link, is_answer));
    assert_eq!(all.iter().filter_map(version).collect::<Vec<_>>(), [4, 6]);
    // It is ready now, and hears of itself among the proxies.
    let ready = |d: &FromControl| matches!(d, FromControl::Update { section: StateSection::Proxies(f), .. } if f.iter().any(ProxyEndpoint::is_ready));
    all.extend(told(&mut link, ready));
    let numbers = all.iter().filter_map(|d| match d {
        FromControl::Update { number, .. } => Some(*number),
        FromControl::Heartbeat { .. } | FromControl::Resync => None,
    });
    let numbers: Vec<u64> = numbers.collect();
    assert_eq!(numbers, (1..=numbers.len() as u64).collect::<Vec<_>>());
    // What it applied is nothing, and operators see that.
    let nodes = control.done(1, "GET", "/api/Nodes", "");
    assert!(
        nodes.contains(r#""host":"e1""#) && nodes.contains(r#""standing":"behind""#),
        "{nodes}"
    );
    let told = control.done(1, "GET", "/api/Explain?host=a.example&path=/a/x", "");
    assert!(
        told.contains(r#""gen":"00000006","route":{"homes":[]"#)
            && told.contains("repeated freely"),
        "{told}"
    );
    assert!(
        told.find("00000006").unwrap() < told.find("00000004").unwrap(),
        "the newest first: {told}"
    );
    assert_eq!(control.call(1, "GET", "/api/Explain", "").unwrap().0, 400);
}
