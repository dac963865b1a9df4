//! The responses of the operator API and the lookup API: statuses, bodies and JSON keys, on which external tools
//! depend.

use aspendrum_consensus::ReplicatedState;
use aspendrum_consensus::{Command, CommandOutcome};
use aspendrum_control::api::{LookupApi, OperatorApi};
use aspendrum_control::directory::{Directory, REGION_HOLD_TIME};
use aspendrum_control::event::{Event, ReportQuery};
use aspendrum_control::report::{self, MembershipReport, NodeReport};
use aspendrum_model::compression::compress;
use aspendrum_model::config::Config;
use aspendrum_model::message::{ProxyEndpoint, Readiness, Revision, StateDigest};
use aspendrum_net::http1::Request;
use aspendrum_net::http_server::Reply;
use aspendrum_net::mailbox;
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_reconcile::SyncStatus;
use std::sync::{Arc, RwLock};
use std::thread;

const CONFIG: &str = r#"{"gen":"00000107","caps":{"hdr-bytes":16384,"body-bytes":1024,"hdr-ms":3000,"idle-ms":15000},
"ports":[{"vhost":"a.example","rules":[
{"name":"r","type":"idem","goal-ms":500,"match":{"pfx":"/a/"},"action":{"svc":"s","limit-ms":2000,"tries":2}},
{"name":"m","type":"mutating","goal-ms":500,"public":true,"match":{"pfx":"/m/"},
"action":{"split":[{"svc":"s","wt":3},{"svc":"t","wt":1}],"limit-ms":2500,"tries":1,"homes":["g"]}}]}],
"pools":[{"name":"s","check":"/healthz"},{"name":"t","check":"/healthz"}]}"#;

fn request(method: &str, path: &str, body: &str) -> Request {
    Request {
        method: method.into(),
        path: path.into(),
        headers: Vec::new(),
        body: body.as_bytes().to_vec().into(),
        closes_connection: false,
    }
}

/// Returns the parameters of a report query as JSON.
fn query_parameters(query: &ReportQuery) -> serde_json::Value {
    match query {
        ReportQuery::Nodes => serde_json::Value::Null,
        ReportQuery::Explain { host, path } => serde_json::json!([host, path]),
    }
}

/// Formats status, headers and body of a reply.
fn format_reply(reply: &Reply) -> String {
    let headers: String = reply
        .headers
        .iter()
        .map(|h| format!(" {}: {};", h.0, h.1))
        .collect();
    format!(
        "{}{headers} {}",
        reply.status,
        String::from_utf8_lossy(&reply.body)
    )
}

/// Returns the formatted response to an operator's call, and the submitted commands. Every command ends with `outcome`.
fn answer(outcome: &CommandOutcome, request: &Request) -> (String, Vec<Command>) {
    let (command_sender, commands) = crossbeam_channel::unbounded();
    let outcome = outcome.clone();
    let start = |inbox: mailbox::MailboxReceiver<Event>| {
        thread::Builder::new().spawn(move || {
            while let Ok(event) = inbox.recv_deadline(None) {
                match event {
                    Event::Command { command, reply, .. } => {
                        command_sender.send(command).unwrap();
                        reply.send(outcome.clone()).unwrap();
                    }
                    Event::Report { query, reply } => {
                        reply
                            .send(serde_json::json!({ "of": query_parameters(&query) }))
                            .unwrap();
                    }
                    _ => panic!("unexpected event for a call"),
                }
            }
        })
    };
    let events = Arc::new(mailbox::spawn_receiver(8, start).unwrap());
    let zones = [("z1".to_string(), "g".to_string())].into();
    let reply = OperatorApi::new(events.clone(), zones, MemoryBudget::unlimited()).handle(request);
    Arc::into_inner(events).unwrap().close();
    (format_reply(&reply), commands.iter().collect())
}

fn committed(version: u32, text: &[u8]) -> CommandOutcome {
    let state = ReplicatedState::of_config(version, text.to_vec());
    CommandOutcome::Committed(Box::new(state))
}

#[test]
fn setting_a_configuration_is_acknowledged_refused_or_unavailable() {
    let set = request("POST", "/api/Cfg.Set", CONFIG);
    let (acknowledged, commands) = answer(&committed(1, b""), &set);
    assert_eq!(acknowledged, "200 ");
    let digest = aspendrum_model::hash::digest(CONFIG.as_bytes());
    assert_eq!(
        commands,
        [Command::SetConfig {
            version: 0x0107,
            compressed_text: compress(CONFIG.as_bytes()),
            digest
        }]
    );
    assert_eq!(
        answer(&CommandOutcome::VersionConflict, &set).0,
        "409 another text was decided under this number\n"
    );
    assert_eq!(answer(&CommandOutcome::NoQuorum, &set).0, "503 ");
    let invalid = request("POST", "/api/Cfg.Set", &CONFIG.replace("/a/", "a/"));
    let refused = "400 the prefix a/ does not begin with a slash\n".to_string();
    assert_eq!(answer(&committed(1, b""), &invalid), (refused, vec![]));
    let signed = request(
        "POST",
        "/api/Cfg.Set",
        &CONFIG.replace("00000107", "+0000107"),
    );
    let refused = "400 it cannot be read whole: gen +0000107\n".to_string();
    assert_eq!(answer(&committed(1, b""), &signed), (refused, vec![]));
    assert_eq!(
        answer(&committed(1, b""), &request("GET", "/api/Cfg.Set", CONFIG)).0,
        "405 "
    );
}

#[test]
fn the_current_configuration_is_shown_as_it_was_uploaded() {
    let show = request("GET", "/api/Cfg.Show", "");
    let current = committed(0x0107, &compress(CONFIG.as_bytes()));
    let expected = format!("200 Content-Type: application/json; {CONFIG}");
    assert_eq!(answer(&current, &show), (expected, vec![Command::Read]));
    // Version 0 is a version. Without a configuration there is nothing to show.
    let lowest = committed(0, &compress(CONFIG.as_bytes()));
    assert_eq!(answer(&lowest, &show), answer(&current, &show));
    let none = CommandOutcome::Committed(Box::default());
    assert_eq!(answer(&none, &show).0, "503 ");
    assert_eq!(answer(&committed(1, b"no packed text"), &show).0, "500 ");
    assert_eq!(answer(&CommandOutcome::NoQuorum, &show).0, "503 ");
}

#[test]
fn evacuation_calls_submit_a_command_for_their_zone() {
    let command = |is_evacuated| {
        vec![Command::SetEvacuation {
            zone: "z1".into(),
            is_evacuated,
        }]
    };
    let call = |path: &str| answer(&committed(1, b""), &request("POST", path, ""));
    assert_eq!(call("/api/Evac.Begin/z1"), ("200 ".into(), command(true)));
    assert_eq!(call("/api/Evac.Finish/z1"), ("200 ".into(), command(false)));
    assert_eq!(call("/api/Evac.Begin/z2"), ("404 ".into(), vec![]));
    let begin = request("POST", "/api/Evac.Begin/z1", "");
    assert_eq!(answer(&CommandOutcome::NoQuorum, &begin).0, "503 ");
}

#[test]
fn report_calls_are_selected_by_path() {
    let call = |path: &str| answer(&CommandOutcome::NoQuorum, &request("GET", path, "")).0;
    assert_eq!(
        call("/api/Nodes"),
        r#"200 Content-Type: application/json; {"of":null}"#
    );
    let explained = r#"200 Content-Type: application/json; {"of":["a.example","/a/x"]}"#;
    assert_eq!(call("/api/Explain?host=a.example&path=/a/x"), explained);
    assert_eq!(call("/api/Explain?host=a.example"), "400 ");
    assert_eq!(call("/api/lookup"), "404 ");
    assert_eq!(call("/"), "404 ");
}

fn state_digest(config: u32, evacuation: u64, digests: [u64; 4]) -> StateDigest {
    let config = Some(config);
    StateDigest {
        revision: Revision { config, evacuation },
        digests,
    }
}

#[test]
fn the_node_report_keeps_its_json_keys() {
    let decided = state_digest(0x0107, 3, [1, 2, 3, 4]);
    let node = |host: &str, status, not_current_ms, applied| NodeReport {
        host: host.into(),
        proxy: "10.0.0.9:80".into(),
        zone: "z1".into(),
        is_ready: not_current_ms == 0,
        status,
        not_current_ms,
        applied,
        sent_update: 7,
        acknowledged_update: 6,
    };
    let nodes = [
        node("e1", SyncStatus::Current, 0, decided),
        node(
            "e2",
            SyncStatus::Behind,
            40,
            state_digest(0x0106, 2, [1, 9, 3, 9]),
        ),
        node(
            "e3",
            SyncStatus::Diverged,
            41,
            state_digest(0x0107, 3, [9, 2, 9, 4]),
        ),
        node("e4", SyncStatus::Isolated, 42, StateDigest::default()),
    ];
    let members = MembershipReport {
        epoch: 5,
        voters: vec!["10.0.0.1".into(), "10.0.0.2".into()],
        control_nodes: vec!["10.0.0.2".into()],
        has_joined: true,
    };
    let known = report::nodes("core-1", &decided, Some(120), &nodes, &members).to_string();
    assert_eq!(known + "\n", include_str!("fixtures/nodes.json"));
    let unknown = MembershipReport {
        epoch: 0,
        voters: Vec::new(),
        control_nodes: Vec::new(),
        has_joined: false,
    };
    let unknown = report::nodes("core-1", &StateDigest::default(), None, &[], &unknown).to_string();
    assert_eq!(unknown + "\n", include_str!("fixtures/nodes_unknown.json"));
}

#[test]
fn the_explain_report_keeps_its_json_keys() {
    let newest = Config::read(CONFIG.as_bytes()).unwrap();
    let previous = CONFIG.replace("00000107", "00000106").replace("/m/", "/n/");
    let versions = [newest, Config::read(previous.as_bytes()).unwrap()];
    let explained = |path| report::explain(versions.iter(), "a.example", path).to_string() + "\n";
    assert_eq!(
        explained("/a/x"),
        include_str!("fixtures/explain_retried.json")
    );
    assert_eq!(
        explained("/m/x"),
        include_str!("fixtures/explain_mutating.json")
    );
}

#[test]
fn a_lookup_is_answered_with_addresses_and_their_time_to_live() {
    let mut directory = Directory::new(0.0, &[("z1".to_string(), "g".to_string())].into());
    let proxy = |n: u8| ProxyEndpoint {
        addr: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: "z1".into(),
        readiness: Readiness::Ready,
        is_current: true,
    };
    directory.update(0.0, &[proxy(1), proxy(2)]);
    let api = LookupApi::new(Arc::new(RwLock::new(directory)), 5.0);
    let look_up = |api: &LookupApi, method, path| {
        format_reply(&api.handle(REGION_HOLD_TIME, &request(method, path, "")))
    };
    let addresses =
        r#"200 Content-Type: application/json; {"ips":["10.0.0.1:80","10.0.0.2:80"],"ttl-s":5.0}"#;
    assert_eq!(look_up(&api, "GET", "/api/lookup?geo=g&az=z1"), addresses);
    let fallback =
        r#"200 Content-Type: application/json; {"ips":["10.0.0.1:80","10.0.0.2:80"],"ttl-s":1.0}"#;
    assert_eq!(look_up(&api, "GET", "/api/lookup?geo=h&az=z9"), fallback);
    let empty = LookupApi::new(Arc::default(), 5.0);
    assert_eq!(look_up(&empty, "GET", "/api/lookup?geo=g&az=z1"), "503 ");
    assert_eq!(look_up(&api, "POST", "/api/lookup"), "405 ");
    assert_eq!(look_up(&api, "GET", "/api/Nodes"), "404 ");
}
