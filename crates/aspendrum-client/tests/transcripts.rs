//! Runs the client against two fake control nodes and compares its output and exit status.

use aspendrum_net::http1::{MessageLimits, Request};
use aspendrum_net::http_server::{listen, Reply, ServerOptions};
use aspendrum_net::memory_budget::MemoryBudget;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

const CONFIG: &str = r#"{"gen":"00000007","caps":{"hdr-bytes":16384,"body-bytes":1024,"hdr-ms":3000,"idle-ms":15000},
"tenants":[{"name":"ann","keys":["k1","k2"]}],
"ports":[{"vhost":"a.example","rules":[{"name":"r","type":"mutating","goal-ms":500,"match":{"pfx":"/send/"},
"action":{"svc":"s","limit-ms":2000,"tries":2}}]}],"pools":[{"name":"s","check":"/healthz"},{"name":"t","check":"/healthz"}]}"#;

const NODES: [&str; 2] = [
    r#"{"decided":{"gen":"00000007","evacuations":1,"digests":["a","b","c","d"]},"majority-ms-ago":120,"control":["127.0.7.2"],
"epoch":3,"voters":["127.0.7.1","127.0.7.2"],"joined":true,
"nodes":[{"host":"edge-b","front":"10.0.0.2:80","zone":"z1","ready":true,"via":"core-1","standing":"behind","off-ms":4200,
"applied":{"gen":"00000004","evacuations":1,"digests":["x","b","c","d"]},"differs":["routes"],"told":9,"acknowledged":7}]}"#,
    r#"{"decided":{"gen":"00000007","evacuations":1,"digests":["a","b","c","d"]},"majority-ms-ago":null,"control":["127.0.7.1"],
"epoch":3,"voters":["127.0.7.1","127.0.7.2"],"joined":false,
"nodes":[{"host":"edge-a","front":"10.0.0.1:80","zone":"z2","ready":false,"via":"core-2","standing":"current","off-ms":0,
"applied":{"gen":"00000007","evacuations":1,"digests":["a","b","c","d"]},"differs":[],"told":8,"acknowledged":8}]}"#,
];
const EXPLANATION: &str = r#"{"host":"a.example","path":"/send/1","versions":[
{"gen":"00000007","route":{"name":"r","services":[{"svc":"s","wt":1.0}],"retries":"lands once","tries":2,"limit-ms":2000}},
{"gen":"00000004","route":null}]}"#;

fn answer(node: usize, request: &Request) -> Reply {
    let json = |text: &str| Reply::json(text.as_bytes().to_vec());
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/api/Nodes") => json(NODES[node]),
        ("GET", "/api/Explain?host=a.example&path=/send/1") => json(EXPLANATION),
        ("GET", "/api/Cfg.Show") => json(CONFIG),
        // Only the second node has a majority.
        ("POST", "/api/Cfg.Set") if request.body.starts_with(b"{\"gen\":\"00000008\"") => Reply {
            body: b"older than 00000009\n".to_vec(),
            ..Reply::empty(409)
        },
        ("POST", "/api/Cfg.Set" | "/api/Evac.Begin/z1") if node == 1 => Reply::empty(200),
        ("POST", "/api/Cfg.Set" | "/api/Evac.Begin/z1") => Reply::empty(503),
        _ => Reply::empty(404),
    }
}

/// Starts both fake control nodes and returns the port that they share.
fn start_control() -> u16 {
    let options = ServerOptions {
        stack_bytes: 128 << 10,
        limits: MessageLimits {
            head_bytes: 8 << 10,
            body_bytes: 1 << 20,
        },
        idle_timeout: Duration::from_secs(5),
        worker_idle_timeout: Duration::from_secs(1),
        memory: MemoryBudget::unlimited(),
    };
    let port = (20_000..30_000).find(|port| {
        let address = |n: u8| SocketAddrV4::new(Ipv4Addr::new(127, 0, 7, n), *port);
        listen(address(1), options.clone(), |r| answer(0, &r)).is_ok()
            && listen(address(2), options.clone(), |r| answer(1, &r)).is_ok()
    });
    port.expect("no free port")
}

fn client(port: u16, arguments: &[&str]) -> (i32, String, String) {
    let at = format!("127.0.7.1:{port}");
    let mut command = Command::new(env!("CARGO_BIN_EXE_aspendrum-client"));
    let Output {
        status,
        stdout,
        stderr,
    } = command
        .args(["--at", &at])
        .args(arguments)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (status.code().unwrap(), text(stdout), text(stderr))
}

#[test]
fn nodes_and_explain_show_which_version_each_node_has_applied() {
    let port = start_control();
    let (code, out, _) = client(port, &["nodes"]);
    let expected = "\
decided 00000007, evacuation orders 1, majority read 120 ms ago, votes; epoch 3: 127.0.7.1 127.0.7.2
decided 00000007, evacuation orders 1, majority read never, does not vote; epoch 3: 127.0.7.1 127.0.7.2
node                     zone           applied  standing     off ms differs                  news
edge-a                   z2             00000007 current           0                          8/8 not ready
edge-b                   z1             00000004 behind         4200 routes                   7/9
";
    assert_eq!((code, out.as_str()), (1, expected), "one node differs");
    let (code, out, _) = client(port, &["explain", "a.example", "/send/1"]);
    let expected = "\
00000007 (1 nodes): \"r\" -> [{\"svc\":\"s\",\"wt\":1.0}]; \"lands once\"; 2 tries, 2000 ms
00000004 (1 nodes): no route, 404
";
    assert_eq!((code, out.as_str()), (0, expected));
    let (code, out, _) = client(port, &["--json", "nodes"]);
    assert!(
        code == 1
            && serde_json::from_str::<serde_json::Value>(&out).unwrap()[0]["nodes"][0]["host"]
                == "edge-b"
    );
}

#[test]
fn check_put_evacuate_and_diff_print_their_results() {
    let port = start_control();
    let folder = std::env::temp_dir().join(format!("client-{}-{port}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let both = format!("127.0.7.2:{port}");
    let good = file("good.json", CONFIG);
    assert_eq!(
        client(port, &["check", &good]).1,
        "version 00000007: 1 routes, 2 services, 1 tenants\n"
    );
    // The first node has no majority, so the client tries the second one.
    let (code, out, _) = client(port, &["--at", &both, "put", &good]);
    assert_eq!(
        (code, out.as_str()),
        (
            0,
            "version 00000007 is stored by a majority of the control nodes' disks\n"
        )
    );
    let (code, out, _) = client(port, &["--at", &both, "evacuate", "begin", "z1"]);
    assert_eq!(
        (code, out.as_str()),
        (
            0,
            "the start of the evacuation of z1 is stored by a majority of the control nodes' disks\n"
        )
    );
    assert_eq!(
        client(port, &["evacuate", "begin", "z9"]).0,
        1,
        "no such zone"
    );
    let bad = file(
        "bad.json",
        &CONFIG.replace("\"svc\":\"s\"", "\"svc\":\"u\""),
    );
    let (code, _, stderr) = client(port, &["put", &bad]);
    assert!(
        code == 1 && stderr.ends_with("route r names the service u, which is not there\n"),
        "{stderr}"
    );
    assert_eq!(client(port, &["diff", &good]).0, 0);
    let changed = CONFIG
        .replace("\"svc\":\"s\"", "\"svc\":\"t\"")
        .replace("00000007", "00000009");
    let changed = changed.replace("\"k1\",", "");
    let (code, out, _) = client(port, &["diff", &file("moved.json", &changed)]);
    assert!(
        code == 1 && out.starts_with("~ a.example/send/, goes elsewhere: "),
        "{out}"
    );
    assert!(
        out.ends_with("~ keys: 0 given, 1 taken away\n~ version: 00000007 -> 00000009\n"),
        "{out}"
    );
    assert!(!out.contains("k1"), "keys are secrets");
    std::fs::remove_dir_all(folder).unwrap();
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("client-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn file(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn diff_shows_each_difference_between_two_configurations() {
    let port = start_control();
    let folder = folder("diff");
    let new = CONFIG.replace("00000007", "0000000a").replace(
        "\"ports\":[{\"vhost\":\"a.example\",\"rules\":[{\"name\":\"r\",\"type\":\"mutating\"",
        "\"ports\":[{\"vhost\":\"b.example\",\"rules\":[{\"name\":\"q\",\"type\":\"mutating\",\"goal-ms\":10,\"match\":{\"pfx\":\"/\"},\"action\":{\"split\":[{\"svc\":\"s\",\"wt\":1.5},{\"svc\":\"t\",\"wt\":2}],\"limit-ms\":20,\"tries\":1}}]},{\"vhost\":\"a.example\",\"rules\":[{\"name\":\"r\",\"type\":\"idem\"",
    );
    let new = new.replace("\"k1\",", "\"k5\",\"k6\",");
    let (code, out, stderr) = client(port, &["diff", &file(&folder, "new.json", &new)]);
    let expected = "\
~ a.example/send/, repeats otherwise: Route { name: \"r\", repeatable: false, goal_ms: 500.0, limit_ms: 2000.0, prio: 0.0, public: false, tries: 2, homes: [], services: [(\"s\", 1.0)] } -> Route { name: \"r\", repeatable: true, goal_ms: 500.0, limit_ms: 2000.0, prio: 0.0, public: false, tries: 2, homes: [], services: [(\"s\", 1.0)] }
+ b.example/ -> [(\"s\", 1.5), (\"t\", 2.0)]
~ keys: 2 given, 1 taken away
~ version: 00000007 -> 0000000a
";
    assert_eq!((code, out.as_str(), stderr.as_str()), (1, expected, ""));
    let other = CONFIG
        .replace("/send/", "/other/")
        .replace("a.example", "c.example");
    let (code, out, _) = client(port, &["diff", &file(&folder, "other.json", &other)]);
    let expected = "+ c.example/other/ -> [(\"s\", 1.0)]\n- a.example/send/\n";
    assert_eq!((code, out.as_str()), (1, expected));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn the_current_configuration_and_refusals_are_shown() {
    let port = start_control();
    let folder = folder("refused");
    assert_eq!(
        client(port, &["show"]),
        (0, format!("{CONFIG}\n"), String::new())
    );
    let older = file(
        &folder,
        "older.json",
        &CONFIG.replace("00000007", "00000008"),
    );
    let refused = (
        1,
        String::new(),
        "refused with 409: older than 00000009\n".to_string(),
    );
    assert_eq!(client(port, &["put", &older]), refused);
    let refused = (1, String::new(), "refused with 404: \n".to_string());
    assert_eq!(client(port, &["evacuate", "finish", "z9"]), refused);
    let bare = CONFIG.replace(
        "\"tenants\":[{\"name\":\"ann\",\"keys\":[\"k1\",\"k2\"]}],\n",
        "",
    );
    let checked = (
        0,
        "version 00000007: 1 routes, 2 services, no tenants\n".to_string(),
        String::new(),
    );
    assert_eq!(
        client(port, &["check", &file(&folder, "bare.json", &bare)]),
        checked
    );
    let json = client(port, &["--json", "explain", "a.example", "/send/1"]);
    let expected: serde_json::Value = serde_json::from_str(EXPLANATION).unwrap();
    assert_eq!(
        json,
        (
            0,
            serde_json::to_string_pretty(&expected).unwrap() + "\n",
            String::new()
        )
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn unreadable_files_and_unreachable_nodes_are_reported() {
    let (code, out, stderr) = client(1, &["check", "/no/such/file"]);
    let expected = "aspendrum-client: /no/such/file: No such file or directory (os error 2)\n";
    assert_eq!((code, out.as_str(), stderr.as_str()), (2, "", expected));
    // Port 1 is privileged and not in use.
    for arguments in [&["nodes"][..], &["explain", "a.example", "/"]] {
        let (code, out, stderr) = client(1, arguments);
        let expected = "aspendrum-client: 127.0.7.1:1: Connection refused (os error 111)\n";
        assert_eq!(
            (code, out.as_str(), stderr.as_str()),
            (2, "", expected),
            "{arguments:?}"
        );
    }
    let (code, out, stderr) = client(start_control(), &["explain", "b.example", "/"]);
    assert!(
        code == 2 && out.is_empty() && stderr.ends_with(" answered 404\n"),
        "{stderr}"
    );
}
