//! The calls that operators and clients make: orders, reading the configuration, and look-ups.

use crate::directory::{Directory, Ms};
use crate::event::Event;
use aspendrum_consensus::{Order, Outcome};
use aspendrum_model::compression::{compress, decompress};
use aspendrum_model::config::Config;
use aspendrum_model::hash::digest;
use aspendrum_net::http1::Request;
use aspendrum_net::http_server::Reply;
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::path_matcher::{match_path, query_parameter, PathMatch, PathNode};
use crossbeam_channel::bounded;
use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

/// A call waits for a majority no longer than its caller does.
const WAIT: Duration = Duration::from_millis(950);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    Set,
    Show,
    Begin,
    Finish,
    Nodes,
    Explain,
    LookUp,
}

fn api(inner: Vec<PathNode<Call>>) -> Vec<PathNode<Call>> {
    vec![PathNode::Literal("api", inner)]
}

/// The calls of the operator.
pub fn orders() -> Vec<PathNode<Call>> {
    api(vec![
        PathNode::Literal("Cfg.Set", vec![PathNode::Endpoint("POST", Call::Set)]),
        PathNode::Literal("Cfg.Show", vec![PathNode::Endpoint("GET", Call::Show)]),
        PathNode::Literal("Nodes", vec![PathNode::Endpoint("GET", Call::Nodes)]),
        PathNode::Literal("Explain", vec![PathNode::Endpoint("GET", Call::Explain)]),
        PathNode::Literal(
            "Evac.Begin",
            vec![PathNode::Parameter(vec![PathNode::Endpoint(
                "POST",
                Call::Begin,
            )])],
        ),
        PathNode::Literal(
            "Evac.Finish",
            vec![PathNode::Parameter(vec![PathNode::Endpoint(
                "POST",
                Call::Finish,
            )])],
        ),
    ])
}

/// The calls of clients that ask where to go.
pub fn look_ups() -> Vec<PathNode<Call>> {
    api(vec![PathNode::Literal(
        "lookup",
        vec![PathNode::Endpoint("GET", Call::LookUp)],
    )])
}

/// What answers the operator.
pub struct Orders {
    pub events: Arc<MailboxSender<Event>>,
    pub zones: BTreeMap<String, String>,
}

impl Orders {
    pub fn answer(&self, tree: &[PathNode<Call>], request: &Request) -> Reply {
        match match_path(tree, &request.method, &request.path) {
            PathMatch::Call {
                call: Call::Set, ..
            } => match Config::read(&request.body) {
                Ok(config) => {
                    let (version, digest) = (config.version, digest(&request.body));
                    log::info!("event=order call=set version={version:08x} digest={digest:016x}");
                    let text = compress(&request.body);
                    self.order(
                        Order::Config {
                            version,
                            text,
                            digest,
                        },
                        |_| Reply::plain(200),
                    )
                }
                Err(fault) => {
                    log::info!("event=order call=set refused=\"{fault}\"");
                    Reply {
                        body: format!("{fault}\n").into_bytes(),
                        ..Reply::plain(400)
                    }
                }
            },
            PathMatch::Call {
                call: Call::Show, ..
            } => self.order(Order::Read, |held| match held.config.version {
                0 => Reply::plain(503),
                _ => decompress(&held.config.text).map_or_else(|| Reply::plain(500), Reply::json),
            }),
            PathMatch::Call {
                call: call @ (Call::Begin | Call::Finish),
                arguments,
                ..
            } => {
                let zone = arguments[0].to_string();
                if !self.zones.contains_key(&zone) {
                    return Reply::plain(404);
                }
                log::info!("event=order call={call:?} zone={zone}");
                self.order(
                    Order::Evacuation {
                        zone,
                        on: call == Call::Begin,
                    },
                    |_| Reply::plain(200),
                )
            }
            PathMatch::Call {
                call: Call::Nodes, ..
            } => self.told(None),
            PathMatch::Call {
                call: Call::Explain,
                query,
                ..
            } => {
                match (
                    query_parameter(query, "host"),
                    query_parameter(query, "path"),
                ) {
                    (Some(host), Some(path)) => self.told(Some((host.into(), path.into()))),
                    _ => Reply::plain(400),
                }
            }
            PathMatch::Call {
                call: Call::LookUp, ..
            }
            | PathMatch::NotFound => Reply::plain(404),
            PathMatch::MethodNotAllowed => Reply::plain(405),
        }
    }

    fn told(&self, of: Option<(String, String)>) -> Reply {
        let (answer, told) = bounded(1);
        if self.events.try_send(Event::Report { of, answer }).is_err() {
            return Reply::plain(503);
        }
        told.recv_timeout(WAIT).map_or_else(
            |_| Reply::plain(503),
            |v| Reply::json(v.to_string().into_bytes()),
        )
    }

    /// Only what a majority of disks holds is acknowledged; anything else may still come to be held.
    fn order(&self, order: Order, done: impl Fn(&aspendrum_consensus::Holdings) -> Reply) -> Reply {
        let (answer, outcome) = bounded(1);
        let taken = Instant::now();
        if self
            .events
            .try_send(Event::Order {
                order,
                taken,
                answer,
            })
            .is_err()
        {
            return Reply::plain(503);
        }
        match outcome.recv_timeout(WAIT) {
            Ok(Outcome::Done(held)) => done(&held),
            // Final, and only said once the other text is decided: a call ends at once on a 409.
            Ok(Outcome::Taken) => {
                log::info!("event=order_refused why=\"another text was decided under its number\"");
                let why = b"another text was decided under this number\n".to_vec();
                Reply {
                    body: why,
                    ..Reply::plain(409)
                }
            }
            Ok(Outcome::NoMajority) | Err(_) => Reply::plain(503),
        }
    }
}

/// Answers a look-up: `ips` and `ttl-s`.
pub fn look_up(
    directory: &RwLock<Directory>,
    tree: &[PathNode<Call>],
    request: &Request,
    now: Ms,
    ttl_s: f64,
) -> Reply {
    match match_path(tree, &request.method, &request.path) {
        PathMatch::Call {
            call: Call::LookUp,
            query,
            ..
        } => {
            let told = |name| query_parameter(query, name).unwrap_or("");
            let directory = directory.read().unwrap_or_else(|e| e.into_inner());
            let answer = directory.look_up(now, told("geo"), told("az"), ttl_s);
            if answer.addresses.is_empty() {
                return Reply::plain(503);
            }
            let ips: Vec<String> = answer.addresses.iter().map(ToString::to_string).collect();
            let body = serde_json::json!({ "ips": ips, "ttl-s": answer.ttl_s });
            Reply::json(body.to_string().into_bytes())
        }
        PathMatch::Call { .. } | PathMatch::NotFound => Reply::plain(404),
        PathMatch::MethodNotAllowed => Reply::plain(405),
    }
}
