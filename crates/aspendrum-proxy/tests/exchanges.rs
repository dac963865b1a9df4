//! Whole exchanges on loopback: a client, the proxy, and servers that do all that servers in trouble do. What
//! went over each wire is compared with an approved transcript.

mod common;

use aspendrum_model::compression::compress;
use aspendrum_model::message::{Revision, StateDigest, StateSection};
use aspendrum_proxy::Shop;
use aspendrum_reconcile::MajorityReport;
use common::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_query_goes_to_a_server_and_its_answer_back() {
    let stage = stage(1, |_| Some(GOOD));
    assert_eq!(stage.ask(READ), GOOD_TO_T1);
    let head = "Host: a.example; Try-Id: t1; X-More: yes; Budget-Ms: (left); Want-Server: (one); Tenant: ann";
    assert_eq!(stage.seen(), [format!("GET /read/1?x=2 | {head} | ")]);
}

#[test]
fn a_body_in_chunks_goes_on_whole() {
    let stage = stage(1, |_| Some(GOOD));
    assert_eq!(stage.ask(SEND), GOOD_TO_T2);
    let head =
        "Host: a.example; Try-Id: t2; Budget-Ms: (left); Want-Server: (one); Tenant: ann; Content-Length: 3";
    assert_eq!(stage.seen(), [format!("POST /send/1 | {head} | abc")]);
}

/// A promise of a server that nothing ran lets even a mutating query go to another.
#[test]
fn a_mutating_query_goes_on_where_a_server_says_that_nothing_ran() {
    for first in [
        "HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 0\n\n",
        "HTTP/1.1 421 Other\nServer-Id: i-9\nContent-Length: 0\n\n",
    ] {
        let says: Says = if first.contains("503") {
            |n| {
                Some(if n == 0 {
                    "HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 0\n\n"
                } else {
                    GOOD
                })
            }
        } else {
            |n| {
                Some(if n == 0 {
                    "HTTP/1.1 421 Other\nServer-Id: i-9\nContent-Length: 0\n\n"
                } else {
                    GOOD
                })
            }
        };
        let stage = stage(2, says);
        assert_eq!(stage.ask(SEND), GOOD_TO_T2);
        assert_eq!(stage.seen().len(), 2);
    }
}

/// Danger: whatever else a server says or does after it has the request, it may have run.
#[test]
fn a_mutating_query_runs_once_whatever_comes_back() {
    let cases: [Says; 5] = [
        |_| None,
        |_| Some("HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 1\nContent-Length: 40\n\nshort(close)"),
        |_| Some("what is this?\n\n(close)"),
        |_| Some("HTTP/1.1 200 OK\nTry-Id: {id}\nContent-Length: 4\n\nbody"),
        |_| {
            Some("HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 1\nContent-Encoding: gzip\nContent-Length: 4\n\nbody")
        },
    ];
    for says in cases {
        let stage = stage(3, says);
        let answer = stage.ask(SEND);
        assert_eq!(
            answer,
            "HTTP/1.1 502 Bad Gateway\nContent-Length: 0\nTry-Id: t2\n\n"
        );
        assert_eq!(stage.seen().len(), 1);
    }
}

/// Danger: 503 and its like promise that nothing ran; a server's own, without its word, is no such promise.
#[test]
fn a_servers_503_without_its_word_is_no_promise_of_ours() {
    let stage = stage(2, |_| {
        Some("HTTP/1.1 503 Oops\nTry-Id: {id}\nSeal: 1\nContent-Length: 1\n\nx")
    });
    assert_eq!(
        stage.ask(SEND),
        "HTTP/1.1 502 Bad Gateway\nTry-Id: t2\nSeal: 1\nContent-Length: 1\n\nx"
    );
    assert_eq!(stage.seen().len(), 1);
}

#[test]
fn a_servers_own_failure_goes_back_as_it_is() {
    let stage = stage(1, |_| {
        Some("HTTP/1.1 500 Broken\nTry-Id: {id}\nSeal: 1\nContent-Length: 1\n\nx")
    });
    assert_eq!(
        stage.ask(SEND),
        "HTTP/1.1 500 Broken\nTry-Id: t2\nSeal: 1\nContent-Length: 1\n\nx"
    );
}

#[test]
fn a_repeatable_query_is_sent_on_after_any_failure() {
    let cases: [Says; 3] = [
        |n| if n == 0 { None } else { Some(GOOD) },
        |n| {
            Some(if n == 0 {
                "HTTP/1.1 200 OK\nTry-Id: {id}\nContent-Length: 4\n\nbody"
            } else {
                GOOD
            })
        },
        |n| {
            Some(if n == 0 {
                "HTTP/1.1 500 Broken\nTry-Id: {id}\nSeal: 1\nContent-Length: 0\n\n"
            } else {
                GOOD
            })
        },
    ];
    for says in cases {
        let stage = stage(3, says);
        assert_eq!(stage.ask(READ), GOOD_TO_T1);
        assert_eq!(stage.seen().len(), 2);
    }
}

/// Danger: an answer of an earlier try comes in the place of ours.
#[test]
fn an_answer_to_another_try_is_read_over() {
    let stage = stage(1, |_| {
        Some("HTTP/1.1 200 OK\nTry-Id: old\nSeal: 9\nContent-Length: 3\n\noldHTTP/1.1 200 OK\nTry-Id: {id}\nSeal: 3e1b.07\nContent-Length: 4\n\nbody")
    });
    assert_eq!(stage.ask(SEND), GOOD_TO_T2);
    assert_eq!(stage.seen().len(), 1);
}

#[test]
fn what_no_route_or_key_allows_reaches_no_server() {
    let stage = stage(1, |_| Some(GOOD));
    let own = |status: &str| format!("HTTP/1.1 {status}\nContent-Length: 0\nTry-Id: t1\n\n");
    assert_eq!(
        stage.ask(&READ.replace("/read/", "/other/")),
        own("404 Not Found")
    );
    assert_eq!(
        stage.ask(&READ.replace("a.example", "b.example")),
        own("404 Not Found")
    );
    assert_eq!(
        stage.ask(&READ.replace("k1", "k2")),
        own("401 Unauthorized")
    );
    assert_eq!(
        stage.ask(&READ.replace("Credential: k1\n", "")),
        own("401 Unauthorized")
    );
    let twice = READ.replace("Credential: k1\n", "Credential: k1\nCredential: k2\n");
    assert_eq!(
        stage.ask(&twice),
        "HTTP/1.1 400 Bad Request\nContent-Length: 0\n\n"
    );
    assert!(stage.seen().is_empty());
    // Without a key, and no tenant is made up for it.
    let open = READ
        .replace("/read/", "/open/")
        .replace("Credential: k1\n", "");
    assert_eq!(stage.ask(&open), GOOD_TO_T1);
    assert!(!stage.seen()[0].contains("Tenant"));
}

/// A query that no server can take goes back while its client can still be served elsewhere.
#[test]
fn without_any_server_a_query_goes_back_in_time() {
    let stage = stage(0, |_| None);
    let begun = Instant::now();
    let answer = stage.ask(SEND);
    assert!(
        answer.starts_with("HTTP/1.1 503 Service Unavailable\n")
            && answer.contains("Retry-After: "),
        "{answer}"
    );
    // Danger: a refused client comes again on a new connection and leaves this one open.
    assert!(answer.contains("Connection: close\n"), "{answer}");
    assert!(begun.elapsed() < Duration::from_millis(800));
}

/// Danger: one server that does everything at once, under many clients: no answer goes to another's request,
/// nothing runs twice, no refusal of what ran.
#[test]
fn ten_thousand_exchanges_with_a_server_that_does_all_of_it() {
    let says: Says = |n| {
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
    let stage = stage(4, says);
    let good = Mutex::new(0);
    thread::scope(|scope| {
        for client in 0..8u32 {
            let (stage, good) = (&stage, &good);
            scope.spawn(move || {
                for n in 0..1250u32 {
                    let id = format!("{:04x}", client << 12 | n);
                    let (text, own) = if n % 2 == 0 {
                        (READ, "t1")
                    } else {
                        (SEND, "t2")
                    };
                    let answer = stage
                        .ask(&text.replace(&format!("Try-Id: {own}"), &format!("Try-Id: {id}")));
                    let served = answer.starts_with("HTTP/1.1 200 ");
                    assert!(
                        !served || answer.ends_with(&format!("\n\n{id}")),
                        "{answer}"
                    );
                    *good.lock().unwrap() += u32::from(served);
                    let ran = stage.ran.lock().unwrap().get(&id).copied().unwrap_or(0);
                    let promise = ["408", "421", "429", "503"]
                        .iter()
                        .any(|s| answer[9..].starts_with(s));
                    assert!(n % 2 == 0 || ran <= 1, "{id} ran {ran} times");
                    assert!(n % 2 == 0 || !promise || ran == 0, "{answer}");
                }
            });
        }
    });
    let good = *good.lock().unwrap();
    assert!(good > 7000, "{good}");
}

/// Danger: a key is taken away while the proxy is cut off. It can know only by a licence, which is counted from
/// when it asked, however late the answer came.
#[test]
fn without_a_licence_no_key_is_believed() {
    let stage = stage_of(r#""revoked":true,"revoke-ms":60000"#, 1, |_| Some(GOOD));
    let refused = |answer: &str| {
        assert!(
            answer.starts_with("HTTP/1.1 503 ") && answer.contains("Connection: close\n"),
            "{answer}"
        );
        assert!(answer.contains("Retry-After: "), "{answer}");
    };
    refused(&stage.ask(READ));
    let told = |age| stage.shop.told(0, age, stage.shop.stand.edition(), false);
    told(None);
    refused(&stage.ask(READ));
    // Control's word was as old as a licence lasts.
    told(Some(60_000));
    refused(&stage.ask(READ));
    assert!(stage.seen().is_empty());
    // Without a key there is nothing to believe.
    assert_eq!(
        stage.ask(
            &READ
                .replace("/read/", "/open/")
                .replace("Credential: k1\n", "")
        ),
        GOOD_TO_T1
    );
    // A younger one, of what is not in force here.
    let other = StateDigest {
        digests: [1; 4],
        ..stage.shop.stand.edition()
    };
    stage.shop.told(0, Some(700), other, false);
    refused(&stage.ask(READ));
    told(Some(500));
    assert_eq!(stage.ask(READ), GOOD_TO_T1);
    // An older word does not shorten it.
    told(Some(59_000));
    assert_eq!(stage.ask(READ), GOOD_TO_T1);
}

fn held_back(answer: &str) {
    assert!(
        answer.starts_with("HTTP/1.1 503 ") && answer.contains("Connection: close\n"),
        "{answer}"
    );
    assert!(answer.contains("Retry-After: "), "{answer}");
}

/// Danger: a node that missed a change, or applied another text by its number, sends a transfer where it does not
/// belong. What may be repeated flows on all the while.
#[test]
fn once_only_queries_wait_for_what_was_decided() {
    let stage = stage(1, |_| Some(GOOD));
    let held = stage.shop.stand.edition();
    let word = |decided, as_of| {
        stage
            .shop
            .stand
            .told(1.0, Some(MajorityReport { decided, as_of }), false)
    };
    let flows = |text: &str, good: &str| assert_eq!(stage.ask(text), good);
    flows(SEND, GOOD_TO_T2);
    // Something newer was decided; an evacuation counts as a configuration does.
    for newer in [
        Revision {
            config: 2,
            ..held.revision
        },
        Revision {
            evacuation: 1,
            ..held.revision
        },
    ] {
        word(
            StateDigest {
                revision: newer,
                ..held
            },
            0.0,
        );
        held_back(&stage.ask(SEND));
        flows(READ, GOOD_TO_T1);
    }
    word(held, 0.0);
    flows(SEND, GOOD_TO_T2);
    // A table that changed under its proxy: the same number, another service behind the route.
    let corrupt = CONFIG.replace(
        r#""action":{"svc":"s1","limit-ms":2000,"tries":3}},
{"name":"open""#,
        r#""action":{"svc":"s1","limit-ms":1999,"tries":3}},
{"name":"open""#,
    );
    assert_ne!(corrupt, CONFIG);
    stage
        .shop
        .desk
        .apply(StateSection::config(1, compress(corrupt.as_bytes())));
    stage.shop.collate();
    held_back(&stage.ask(SEND));
    flows(READ, GOOD_TO_T1);
    // Told again, the tables are built anew, though the number is the same.
    stage
        .shop
        .desk
        .apply(StateSection::config(1, compress(CONFIG.as_bytes())));
    stage.shop.collate();
    flows(SEND, GOOD_TO_T2);
    // The word is as old as it may be: nothing had to come for that.
    let last = 600_000.0;
    assert!(
        stage.shop.stand.runs_once_only(last - 251.0)
            && !stage.shop.stand.runs_once_only(last - 250.0)
    );
    assert_eq!(
        stage
            .seen()
            .iter()
            .filter(|s| s.starts_with("POST"))
            .count(),
        3
    );
    // A torn push is not applied, and the tables serve on as they are.
    let StateSection::Config {
        version,
        checksum: seal,
        ..
    } = StateSection::config(1, compress(CONFIG.as_bytes()))
    else {
        return;
    };
    stage.shop.desk.apply(StateSection::Config {
        version: version + 1,
        compressed_text: compress(corrupt.as_bytes()),
        checksum: seal,
    });
    stage.shop.desk.anew();
    stage.shop.collate();
    flows(SEND, GOOD_TO_T2);
}

/// Danger: a transfer waits for a server, its route moves meanwhile, and it leaves by the old one.
#[test]
fn a_once_only_query_that_waited_does_not_leave_by_an_older_path() {
    static SHOP: Mutex<Option<Arc<Shop>>> = Mutex::new(None);
    let says: Says = |n| {
        if let Some(shop) = SHOP.lock().unwrap().as_ref().filter(|_| n == 0) {
            let moved = CONFIG.replace("00000001", "00000002").replace(
                r#""pfx":"/send/"},"action":{"svc":"s1""#,
                r#""pfx":"/send/"},"action":{"svc":"s2""#,
            );
            let moved = moved.replace(
                r#""pools":["#,
                r#""pools":[{"name":"s2","check":"/healthz"},"#,
            );
            shop.desk
                .apply(StateSection::config(2, compress(moved.as_bytes())));
            shop.collate();
        }
        Some("HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 0\n\n")
    };
    let stage = stage(3, says);
    *SHOP.lock().unwrap() = Some(stage.shop.clone());
    held_back(&stage.ask(SEND));
    assert_eq!(
        stage.seen().len(),
        1,
        "it left once, by what was decided then"
    );
    // A key taken away meanwhile is the same.
    assert!(stage.shop.runs_once_only());
}
