//! Complete exchanges on loopback between a client, the proxy, and servers with all kinds of failures. The
//! messages on each connection are compared with expected transcripts.

mod common;

use aspendrum_model::compression::compress;
use aspendrum_model::message::{Revision, StateDigest, StateSection};
use aspendrum_proxy::{listener, ProxyState};
use aspendrum_reconcile::MajorityReport;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_request_is_forwarded_and_its_response_returned() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    assert_eq!(proxy.request(READ), OK_RESPONSE_T1);
    let head = "Host: a.example; Try-Id: t1; X-More: yes; Budget-Ms: (left); Want-Server: (one); Tenant: ann";
    assert_eq!(proxy.received(), [format!("GET /read/1?x=2 | {head} | ")]);
}

#[test]
fn a_chunked_body_is_forwarded_with_its_length() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    assert_eq!(proxy.request(SEND), OK_RESPONSE_T2);
    let head =
        "Host: a.example; Try-Id: t2; Budget-Ms: (left); Want-Server: (one); Tenant: ann; Content-Length: 3";
    assert_eq!(proxy.received(), [format!("POST /send/1 | {head} | abc")]);
}

/// If a server states that a request did not run, even a mutating request may be retried at another server.
#[test]
fn a_mutating_request_is_retried_if_the_server_states_that_it_did_not_run() {
    for first in [
        "HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 0\n\n",
        "HTTP/1.1 421 Other\nServer-Id: i-9\nContent-Length: 0\n\n",
    ] {
        let script: Script = if first.contains("503") {
            |n| {
                Some(if n == 0 {
                    "HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 0\n\n"
                } else {
                    OK_RESPONSE
                })
            }
        } else {
            |n| {
                Some(if n == 0 {
                    "HTTP/1.1 421 Other\nServer-Id: i-9\nContent-Length: 0\n\n"
                } else {
                    OK_RESPONSE
                })
            }
        };
        let proxy = test_proxy(2, script);
        assert_eq!(proxy.request(SEND), OK_RESPONSE_T2);
        assert_eq!(proxy.received().len(), 2);
    }
}

/// Guards against running a request twice: after any other response or failure of a server, the request may have run.
#[test]
fn a_mutating_request_is_not_retried_after_any_other_failure() {
    let cases: [Script; 5] = [
        |_| None,
        |_| Some("HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 1\nContent-Length: 40\n\nshort(close)"),
        |_| Some("what is this?\n\n(close)"),
        |_| Some("HTTP/1.1 200 OK\nTry-Id: {id}\nContent-Length: 4\n\nbody"),
        |_| {
            Some("HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 1\nContent-Encoding: gzip\nContent-Length: 4\n\nbody")
        },
    ];
    for script in cases {
        let proxy = test_proxy(3, script);
        let response = proxy.request(SEND);
        assert_eq!(
            response,
            "HTTP/1.1 502 Bad Gateway\nContent-Length: 0\nTry-Id: t2\n\n"
        );
        assert_eq!(proxy.received().len(), 1);
    }
}

/// Guards against a false promise to clients: a 503 of the proxy promises that the request did not run, but a
/// server's own 503 without `Not-Run` does not.
#[test]
fn a_server_503_without_not_run_is_not_returned_as_503() {
    let proxy = test_proxy(2, |_| {
        Some("HTTP/1.1 503 Oops\nTry-Id: {id}\nSeal: 1\nContent-Length: 1\n\nx")
    });
    assert_eq!(
        proxy.request(SEND),
        "HTTP/1.1 502 Bad Gateway\nTry-Id: t2\nSeal: 1\nContent-Length: 1\n\nx"
    );
    assert_eq!(proxy.received().len(), 1);
}

#[test]
fn a_server_error_is_returned_to_the_client() {
    let proxy = test_proxy(1, |_| {
        Some("HTTP/1.1 500 Broken\nTry-Id: {id}\nSeal: 1\nContent-Length: 1\n\nx")
    });
    assert_eq!(
        proxy.request(SEND),
        "HTTP/1.1 500 Broken\nTry-Id: t2\nSeal: 1\nContent-Length: 1\n\nx"
    );
}

#[test]
fn an_idempotent_request_is_retried_after_any_failure() {
    let cases: [Script; 3] = [
        |n| if n == 0 { None } else { Some(OK_RESPONSE) },
        |n| {
            Some(if n == 0 {
                "HTTP/1.1 200 OK\nTry-Id: {id}\nContent-Length: 4\n\nbody"
            } else {
                OK_RESPONSE
            })
        },
        |n| {
            Some(if n == 0 {
                "HTTP/1.1 500 Broken\nTry-Id: {id}\nSeal: 1\nContent-Length: 0\n\n"
            } else {
                OK_RESPONSE
            })
        },
    ];
    for script in cases {
        let proxy = test_proxy(3, script);
        assert_eq!(proxy.request(READ), OK_RESPONSE_T1);
        assert_eq!(proxy.received().len(), 2);
    }
}

/// Guards against returning a late response to an earlier request.
#[test]
fn a_response_to_another_request_is_skipped() {
    let proxy = test_proxy(1, |_| {
        Some("HTTP/1.1 200 OK\nTry-Id: old\nSeal: 9\nContent-Length: 3\n\noldHTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 3e1b.07\nContent-Length: 4\n\nbody")
    });
    assert_eq!(proxy.request(SEND), OK_RESPONSE_T2);
    assert_eq!(proxy.received().len(), 1);
}

#[test]
fn a_request_without_a_route_or_a_valid_credential_reaches_no_server() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let generated = |status: &str| format!("HTTP/1.1 {status}\nContent-Length: 0\nTry-Id: t1\n\n");
    assert_eq!(
        proxy.request(&READ.replace("/read/", "/other/")),
        generated("404 Not Found")
    );
    assert_eq!(
        proxy.request(&READ.replace("a.example", "b.example")),
        generated("404 Not Found")
    );
    assert_eq!(
        proxy.request(&READ.replace("k1", "k2")),
        generated("401 Unauthorized")
    );
    assert_eq!(
        proxy.request(&READ.replace("Credential: k1\n", "")),
        generated("401 Unauthorized")
    );
    let twice = READ.replace("Credential: k1\n", "Credential: k1\nCredential: k2\n");
    assert_eq!(
        proxy.request(&twice),
        "HTTP/1.1 400 Bad Request\nContent-Length: 0\n\n"
    );
    assert!(proxy.received().is_empty());
    // A public route needs no credential, and its requests have no tenant.
    let open = READ
        .replace("/read/", "/open/")
        .replace("Credential: k1\n", "");
    assert_eq!(proxy.request(&open), OK_RESPONSE_T1);
    assert!(!proxy.received()[0].contains("Tenant"));
}

/// Guards against permanent errors from an outdated configuration: clients do not retry after 401 or 404, and
/// the request may have been allowed since. In one run, a proxy rejected a request with 404 by an older version
/// more than 3,000 ms after the new version had been acknowledged.
#[test]
fn a_possibly_outdated_proxy_sends_disallowed_requests_to_another_proxy() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let refused = [
        READ.replace("/read/", "/added/"),
        READ.replace("k1", "k2"),
        READ.replace("Credential: k1\n", ""),
    ];
    let report = |version, as_of| {
        let mut decided = proxy.state.consistency.applied();
        decided.revision.config = Some(version);
        let consistency = &proxy.state.consistency;
        consistency.record_report(as_of, Some(MajorityReport { decided, as_of }), false);
    };
    report(2, 1.0);
    for request in &refused {
        let response = proxy.request(request);
        assert!(
            response.starts_with("HTTP/1.1 503 ") && response.contains("Retry-After: "),
            "{response}"
        );
    }
    assert_eq!(
        proxy.request(READ),
        OK_RESPONSE_T1,
        "idempotent requests are still served"
    );
    report(1, 2.0);
    let statuses = refused.map(|request| proxy.request(&request)[9..12].to_string());
    assert_eq!(statuses, ["404", "401", "401"]);
}

/// Guards against rejecting a request by an outdated limit that the operator has raised.
#[test]
fn a_possibly_outdated_proxy_sends_oversized_requests_to_another_proxy() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let address = listen(&proxy);
    let statuses = || {
        let large_body = READ.replace("\n\n", "\nContent-Length: 70000\n\n");
        let large_head = READ.replace("\n\n", &format!("\nX-Large: {}\n\n", "x".repeat(20_000)));
        [large_body, large_head].map(|request| status_of(address, &[&request]))
    };
    assert_eq!(statuses(), ["413", "431"]);
    let mut decided = proxy.state.consistency.applied();
    decided.revision.config = Some(2);
    let report = Some(MajorityReport {
        decided,
        as_of: 1.0,
    });
    proxy.state.consistency.record_report(1.0, report, false);
    assert_eq!(statuses(), ["503", "503"]);
}

/// Guards against a panic on a server's keep-alive time that no `Duration` can hold, which closed the client's
/// connection without the response already received. `Duration::from_secs_f64` panics on infinite and excessive
/// values.
#[test]
fn an_excessive_keep_alive_time_of_a_server_loses_no_response() {
    let proxy = test_proxy(1, |n| {
        Some(match n {
            0 => "HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 3e1b.07\nKeep-Alive: timeout=inf\nContent-Length: 4\n\ngood",
            _ => "HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 3e1b.07\nKeep-Alive: timeout=1e300\nContent-Length: 4\n\ngood",
        })
    });
    for _ in 0..2 {
        let response = proxy.request(READ);
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
}

/// Guards against a panic on the lowest or the highest time that a client may send, and against a time of 0 that is
/// taken for "none given".
#[test]
fn the_lowest_and_the_highest_time_of_a_client_get_a_final_answer() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let address = listen(&proxy);
    let times = ["0", "5e-324", "2000", "18446744073709551615", "1e308"];
    let statuses = times.map(|time| {
        let request = READ.replace("Budget-Ms: 2000", &format!("Budget-Ms: {time}"));
        status_of(address, &[&request])
    });
    assert_eq!(statuses, ["503", "503", "200", "200", "200"]);
}

/// Guards against a server's number at the end of its range that loses its answer or the following ones.
#[test]
fn the_lowest_and_the_highest_number_of_a_server_lose_no_response() {
    let proxy = test_proxy(1, |n| {
        Some([
            "HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 3e1b.07\nKeep-Alive: timeout=0\nWarm-Ms: 0\nServer-Load: 0,0,0\nContent-Length: 4\n\ngood",
            "HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 3e1b.07\nKeep-Alive: timeout=18446744073709551615\nWarm-Ms: 1e308\nServer-Load: 4294967295,4294967295,1\nContent-Length: 4\n\ngood",
            "HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 3e1b.07\nKeep-Alive: timeout=-1\nWarm-Ms: -1\nServer-Load: -1,-1,-1\nContent-Length: 4\n\ngood",
            "HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 3e1b.07\nKeep-Alive: timeout=nan\nWarm-Ms: nan\nServer-Load: nan,nan,nan\nContent-Length: 4\n\ngood",
        ][n % 4])
    });
    for _ in 0..8 {
        let response = proxy.request(READ);
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
}

/// Guards against the same panic on excessive numbers in a valid configuration, which closed every client connection.
#[test]
fn excessive_limits_in_a_configuration_lose_no_request() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let excessive = CONFIG
        .replace("00000001", "00000002")
        .replace(
            "\"hdr-ms\":3000,\"idle-ms\":15000",
            "\"hdr-ms\":1e300,\"idle-ms\":1e300",
        )
        .replace(
            "\"hdr-bytes\":16384,\"body-bytes\":65536",
            "\"hdr-bytes\":18446744073709551615,\"body-bytes\":18446744073709551615",
        )
        .replace("\"goal-ms\":800", "\"goal-ms\":1e299")
        .replace("\"limit-ms\":2000", "\"limit-ms\":1e300");
    apply_second_version(&proxy, &excessive);
    let address = listen(&proxy);
    assert_eq!(status_of(address, &[READ]), "200");
}

/// Guards against a lowest value that is taken for "none" or divides by 0: with time limits of 0 ms a route still gets
/// final answers, and a request that arrives in two parts is answered instead of losing its connection.
#[test]
fn the_lowest_limits_in_a_configuration_lose_no_request() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let lowest = CONFIG
        .replace("00000001", "00000002")
        .replace(
            "\"hdr-ms\":3000,\"idle-ms\":15000",
            "\"hdr-ms\":0,\"idle-ms\":15000",
        )
        .replace("\"rate-s\":0", "\"rate-s\":0,\"burst\":0,\"homes\":[]")
        .replace("\"goal-ms\":800", "\"goal-ms\":0")
        .replace(
            "\"limit-ms\":2000,\"tries\":3}},\n{\"name\":\"open\"",
            "\"limit-ms\":0,\"tries\":1}},\n{\"name\":\"open\"",
        )
        .replace(
            "\"warmup-s\":3.0,\"warm-rate-s\":10.0",
            "\"warmup-s\":0,\"warm-rate-s\":0,\"max-conns\":0",
        );
    assert!(lowest.contains("\"limit-ms\":0,"));
    apply_second_version(&proxy, &lowest);
    let address = listen(&proxy);
    let (begin, rest) = READ.split_at(READ.len() / 2);
    for _ in 0..3 {
        assert_eq!(status_of(address, &[READ]), "200");
        assert_eq!(status_of(address, &[SEND]), "503");
        assert_eq!(status_of(address, &[begin]), "408");
    }
    assert_eq!(status_of(address, &[READ, rest]), "200");
}

fn apply_second_version(proxy: &TestProxy, config: &str) {
    let section = StateSection::config(2, compress(config.as_bytes()));
    proxy.state.dispatcher.apply(section);
    assert_eq!(proxy.state.dispatcher.applied().revision.config, Some(2));
}

/// Serves the proxy's clients at the returned address.
fn listen(proxy: &TestProxy) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread_state = proxy.state.clone();
    thread::spawn(move || listener::accept(&thread_state, listener));
    address
}

/// Sends text on a new connection and returns the status of the first response.
fn status_of(address: SocketAddr, parts: &[&str]) -> String {
    let mut client = TcpStream::connect(address).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    for part in parts {
        client
            .write_all(part.replace('\n', "\r\n").as_bytes())
            .unwrap();
    }
    let mut status = [0; 12];
    client.read_exact(&mut status).unwrap();
    String::from_utf8_lossy(&status[9..]).to_string()
}

/// A request that no server can take is rejected while the client can still be served by another proxy.
#[test]
fn a_request_without_an_available_server_is_rejected_in_time() {
    let proxy = test_proxy(0, |_| None);
    let started_at = Instant::now();
    let response = proxy.request(SEND);
    assert!(
        response.starts_with("HTTP/1.1 503 Service Unavailable\n")
            && response.contains("Retry-After: "),
        "{response}"
    );
    // A rejected client retries on a new connection and would leave this one open.
    assert!(response.contains("Connection: close\n"), "{response}");
    assert!(started_at.elapsed() < Duration::from_millis(800));
}

/// Combines all kinds of server failures under many concurrent clients: no response may go to another request, no
/// non-idempotent request may run twice, and none that ran may be rejected.
#[test]
fn ten_thousand_exchanges_with_a_server_that_fails_in_every_way() {
    let script: Script = |n| {
        match n * 7919 % 23 {
        0 => None,
        1 => Some("HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 1\nContent-Length: 40\n\nshort(close)"),
        2 => Some("HTTP/1.1 200 OK\nTry-Id: old\nSeal: 9\nContent-Length: 3\n\noldHTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 1\nContent-Length: 4\n\n{id}"),
        3 => Some("HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 0\n\n"),
        4 => Some("HTTP/1.1 503 Oops\nTry-Id: {id}\nSeal: 1\nContent-Length: 1\n\nx"),
        5 => Some("nonsense\n\n(close)"),
        6 => Some("HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 1\nContent-Length: 4\n\n{id}HTTP/1.1 200 OK\nTry-Id: old\nSeal: 9\nContent-Length: 3\n\nold"),
        _ => Some("HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 1\nContent-Length: 4\n\n{id}"),
    }
    };
    let proxy = test_proxy(4, script);
    let ok_count = Mutex::new(0);
    thread::scope(|scope| {
        for client in 0..8u32 {
            let (proxy, ok_count) = (&proxy, &ok_count);
            scope.spawn(move || {
                for n in 0..1250u32 {
                    let id = format!("{:04x}", client << 12 | n);
                    let (text, original_id) = if n % 2 == 0 {
                        (READ, "t1")
                    } else {
                        (SEND, "t2")
                    };
                    let response = proxy.request(
                        &text.replace(&format!("Try-Id: {original_id}"), &format!("Try-Id: {id}")),
                    );
                    let served = response.starts_with("HTTP/1.1 200 ");
                    assert!(
                        !served || response.ends_with(&format!("\n\n{id}")),
                        "{response}"
                    );
                    *ok_count.lock().unwrap() += u32::from(served);
                    let run_count = proxy
                        .run_counts
                        .lock()
                        .unwrap()
                        .get(&id)
                        .copied()
                        .unwrap_or(0);
                    let promise = ["408", "421", "429", "503"]
                        .iter()
                        .any(|s| response[9..].starts_with(s));
                    assert!(n % 2 == 0 || run_count <= 1, "{id} ran {run_count} times");
                    assert!(n % 2 == 0 || !promise || run_count == 0, "{response}");
                }
            });
        }
    });
    let ok_count = *ok_count.lock().unwrap();
    assert!(ok_count > 7000, "{ok_count}");
}

/// Guards against accepting a revoked credential while the proxy is isolated: credentials need a lease, which
/// is measured from the proxy's heartbeat, however late the reply arrives.
#[test]
fn no_credential_is_accepted_without_a_lease() {
    let proxy = test_proxy_with(r#""revoked":true,"revoke-ms":60000"#, 1, |_| {
        Some(OK_RESPONSE)
    });
    assert_retry_on_other_proxy(&proxy.request(READ));
    let report = |age| {
        proxy
            .state
            .record_control_report(0, age, proxy.state.consistency.applied(), false)
    };
    report(None);
    assert_retry_on_other_proxy(&proxy.request(READ));
    // The age of control's report equals the duration of a lease.
    report(Some(60_000));
    assert_retry_on_other_proxy(&proxy.request(READ));
    assert!(proxy.received().is_empty());
    // A request without a credential needs no lease.
    assert_eq!(
        proxy.request(
            &READ
                .replace("/read/", "/open/")
                .replace("Credential: k1\n", "")
        ),
        OK_RESPONSE_T1
    );
    // This report is more recent, but its state is not the active one.
    let other = StateDigest {
        digests: [1; 4],
        ..proxy.state.consistency.applied()
    };
    proxy
        .state
        .record_control_report(0, Some(700), other, false);
    assert_retry_on_other_proxy(&proxy.request(READ));
    report(Some(500));
    assert_eq!(proxy.request(READ), OK_RESPONSE_T1);
    // An older report does not shorten the lease.
    report(Some(59_000));
    assert_eq!(proxy.request(READ), OK_RESPONSE_T1);
}

/// Guards against a lease and a decided state that never expire: a reply to a heartbeat that this process has not sent yet
/// counted from that time.
#[test]
fn a_reply_to_a_heartbeat_of_the_future_extends_nothing() {
    let proxy = test_proxy_with(r#""revoked":true,"revoke-ms":60000"#, 1, |_| {
        Some(OK_RESPONSE)
    });
    let applied = proxy.state.consistency.applied();
    let report = |sent_at_ms| {
        proxy
            .state
            .record_heartbeat_reply(sent_at_ms, Some(0), applied, true, false)
    };
    for sent_at_ms in [u64::MAX, i64::MAX as u64, 3_600_000] {
        report(sent_at_ms);
        assert!(!proxy.state.has_credential_lease(), "{sent_at_ms}");
    }
    let last = 600_000.0;
    assert!(!proxy.state.consistency.is_current(last));
    report(0);
    assert!(proxy.state.has_credential_lease());
}

fn assert_retry_on_other_proxy(response: &str) {
    assert!(
        response.starts_with("HTTP/1.1 503 ") && response.contains("Connection: close\n"),
        "{response}"
    );
    assert!(response.contains("Retry-After: "), "{response}");
}

/// Guards against non-idempotent requests that are sent to a wrong destination by a proxy that missed a change,
/// or that has another content under the same version. Idempotent requests are served all the time.
#[test]
fn non_idempotent_requests_run_only_under_the_decided_configuration() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let applied = proxy.state.consistency.applied();
    let report = |decided, as_of| {
        proxy
            .state
            .consistency
            .record_report(1.0, Some(MajorityReport { decided, as_of }), false)
    };
    let assert_served = |text: &str, expected: &str| assert_eq!(proxy.request(text), expected);
    assert_served(SEND, OK_RESPONSE_T2);
    // A newer configuration or evacuation was decided.
    for newer in [
        Revision {
            config: Some(2),
            ..applied.revision
        },
        Revision {
            evacuation: 1,
            ..applied.revision
        },
    ] {
        report(
            StateDigest {
                revision: newer,
                ..applied
            },
            0.0,
        );
        assert_retry_on_other_proxy(&proxy.request(SEND));
        assert_served(READ, OK_RESPONSE_T1);
    }
    report(applied, 0.0);
    assert_served(SEND, OK_RESPONSE_T2);
    // A corrupted table has the same version, but another timeout of the route.
    let corrupt = CONFIG.replace(
        r#""action":{"svc":"s1","limit-ms":2000,"tries":3}},
{"name":"open""#,
        r#""action":{"svc":"s1","limit-ms":1999,"tries":3}},
{"name":"open""#,
    );
    assert_ne!(corrupt, CONFIG);
    proxy
        .state
        .dispatcher
        .apply(StateSection::config(1, compress(corrupt.as_bytes())));
    proxy.state.update_applied_digest();
    assert_retry_on_other_proxy(&proxy.request(SEND));
    assert_served(READ, OK_RESPONSE_T1);
    // If the configuration is sent again, the tables are rebuilt although the version is the same.
    proxy
        .state
        .dispatcher
        .apply(StateSection::config(1, compress(CONFIG.as_bytes())));
    proxy.state.update_applied_digest();
    assert_served(SEND, OK_RESPONSE_T2);
    // The report expires without any further message.
    let last = 600_000.0;
    assert!(
        proxy.state.consistency.is_current(last - 251.0)
            && !proxy.state.consistency.is_current(last - 250.0)
    );
    assert_eq!(
        proxy
            .received()
            .iter()
            .filter(|s| s.starts_with("POST"))
            .count(),
        3
    );
    // A corrupt update is not applied, and the current tables remain in use.
    let StateSection::Config {
        version,
        checksum: seal,
        ..
    } = StateSection::config(1, compress(CONFIG.as_bytes()))
    else {
        return;
    };
    proxy.state.dispatcher.apply(StateSection::Config {
        version: version + 1,
        compressed_text: compress(corrupt.as_bytes()),
        checksum: seal,
    });
    proxy.state.dispatcher.rebuild_tables();
    proxy.state.update_applied_digest();
    assert_served(SEND, OK_RESPONSE_T2);
}

/// Guards against a non-idempotent request that leaves by an outdated route, which changed while the request
/// was waiting for a server.
#[test]
fn a_queued_non_idempotent_request_is_not_sent_by_an_outdated_route() {
    static STATE: Mutex<Option<Arc<ProxyState>>> = Mutex::new(None);
    let script: Script = |n| {
        if let Some(state) = STATE.lock().unwrap().as_ref().filter(|_| n == 0) {
            let moved = CONFIG.replace("00000001", "00000002").replace(
                r#""pfx":"/send/"},"action":{"svc":"s1""#,
                r#""pfx":"/send/"},"action":{"svc":"s2""#,
            );
            let moved = moved.replace(
                r#""pools":["#,
                r#""pools":[{"name":"s2","check":"/healthz"},"#,
            );
            state
                .dispatcher
                .apply(StateSection::config(2, compress(moved.as_bytes())));
            state.update_applied_digest();
        }
        Some("HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 0\n\n")
    };
    let proxy = test_proxy(3, script);
    *STATE.lock().unwrap() = Some(proxy.state.clone());
    assert_retry_on_other_proxy(&proxy.request(SEND));
    assert_eq!(
        proxy.received().len(),
        1,
        "it was sent once, by the route of that time"
    );
    assert!(proxy.state.is_current());
}
