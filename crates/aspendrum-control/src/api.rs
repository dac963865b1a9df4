//! The HTTP APIs: commands and reports for operators, and lookups for clients.

use crate::directory::Directory;
use crate::event::{Event, ReportQuery};
use crate::memory::MAX_CONFIG_BYTES;
use aspendrum_consensus::{Command, CommandOutcome, Millis, ReplicatedState};
use aspendrum_model::compression::{compress, decompress};
use aspendrum_model::config::Config;
use aspendrum_model::hash::digest;
use aspendrum_net::http1::Request;
use aspendrum_net::http_server::Reply;
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_net::path_matcher::{match_path, query_parameter, PathMatch, PathNode};
use crossbeam_channel::bounded;
use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

/// The maximum time that a call waits for a majority. It is below the timeout of one second that callers use.
const CALL_TIMEOUT: Duration = Duration::from_millis(950);

/// The response body for a configuration whose version was decided with a different text.
const VERSION_CONFLICT: &str = "another text was decided under this number\n";

/// The calls of the operator API and the client API.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// Set the configuration.
    SetConfig,
    /// Show the current configuration.
    ShowConfig,
    /// Begin the evacuation of a zone.
    BeginEvacuation,
    /// Finish the evacuation of a zone.
    FinishEvacuation,
    /// Report the nodes whose agents are connected to this control node.
    ReportNodes,
    /// Explain how each configuration version routes a request.
    Explain,
    /// Look up the proxies for a client.
    LookUp,
}

/// The routing table of an API.
pub type Routes = Vec<PathNode<Call>>;

fn under_api(inner: Routes) -> Routes {
    vec![PathNode::Literal("api", inner)]
}

/// Returns the routes of the operator API.
pub fn operator_routes() -> Routes {
    let evacuation = |call| vec![PathNode::Parameter(vec![PathNode::Endpoint("POST", call)])];
    under_api(vec![
        PathNode::Literal("Cfg.Set", vec![PathNode::Endpoint("POST", Call::SetConfig)]),
        PathNode::Literal(
            "Cfg.Show",
            vec![PathNode::Endpoint("GET", Call::ShowConfig)],
        ),
        PathNode::Literal("Nodes", vec![PathNode::Endpoint("GET", Call::ReportNodes)]),
        PathNode::Literal("Explain", vec![PathNode::Endpoint("GET", Call::Explain)]),
        PathNode::Literal("Evac.Begin", evacuation(Call::BeginEvacuation)),
        PathNode::Literal("Evac.Finish", evacuation(Call::FinishEvacuation)),
    ])
}

/// Returns the routes of the client API.
pub fn client_routes() -> Routes {
    under_api(vec![PathNode::Literal(
        "lookup",
        vec![PathNode::Endpoint("GET", Call::LookUp)],
    )])
}

/// Handles calls to the operator API.
pub struct OperatorApi {
    routes: Routes,
    events: Arc<MailboxSender<Event>>,
    /// The region of each zone.
    region_by_zone: BTreeMap<String, String>,
    /// The memory for configurations that are read by callers.
    memory: MemoryBudget,
    /// Bounds the sizes of the configurations that are parsed at the same time: parsing takes a multiple of the size.
    parsing: MemoryBudget,
}

impl OperatorApi {
    /// Creates the API. `events` is the mailbox of the node's thread; `region_by_zone` contains all zones that can be
    /// evacuated; the configurations in replies are taken from `memory`.
    pub fn new(
        events: Arc<MailboxSender<Event>>,
        region_by_zone: BTreeMap<String, String>,
        memory: MemoryBudget,
    ) -> OperatorApi {
        OperatorApi {
            routes: operator_routes(),
            events,
            region_by_zone,
            memory,
            parsing: MemoryBudget::new(MAX_CONFIG_BYTES),
        }
    }

    /// Handles a call.
    pub fn handle(&self, request: &Request) -> Reply {
        let (call, zone, query) = match match_path(&self.routes, &request.method, &request.path) {
            PathMatch::Call {
                call,
                arguments,
                query,
            } => (call, arguments.first().copied(), query),
            PathMatch::MethodNotAllowed => return Reply::empty(405),
            PathMatch::NotFound => return Reply::empty(404),
        };
        match call {
            Call::SetConfig => self.set_config(&request.body),
            Call::ShowConfig => self.show_config(),
            Call::BeginEvacuation => self.set_evacuation(zone.unwrap_or_default(), true),
            Call::FinishEvacuation => self.set_evacuation(zone.unwrap_or_default(), false),
            Call::ReportNodes => self.report(ReportQuery::Nodes),
            Call::Explain => self.explain(query),
            Call::LookUp => Reply::empty(404),
        }
    }

    fn set_config(&self, text: &[u8]) -> Reply {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let Some(parsing) = self.parsing.reserve_until(text.len(), deadline) else {
            return Reply::empty(503);
        };
        let config = match Config::read_submitted(text) {
            Ok(config) => config,
            Err(error) => {
                log::info!("event=command call=set refused=\"{error}\"");
                let body = format!("{error}\n").into_bytes();
                return Reply {
                    body,
                    ..Reply::empty(400)
                };
            }
        };
        let (version, digest) = (config.version, digest(text));
        log::info!("event=command call=set version={version:08x} digest={digest:016x}");
        let command = Command::SetConfig {
            version,
            compressed_text: compress(text),
            digest,
        };
        drop(config);
        drop(parsing);
        self.submit(command, |_| Reply::empty(200))
    }

    /// Returns the newest configuration. Memory for the largest one is reserved before it is decompressed, and for this
    /// one until it is written.
    fn show_config(&self) -> Reply {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let max_bytes = MAX_CONFIG_BYTES.min(self.memory.max_reservation_bytes());
        let Some(mut memory) = self.memory.reserve_until(max_bytes, deadline) else {
            return Reply::empty(503);
        };
        let reply = self.submit(Command::Read, show_config);
        memory.shrink_to(reply.body.len());
        Reply { memory, ..reply }
    }

    fn set_evacuation(&self, zone: &str, is_evacuated: bool) -> Reply {
        if !self.region_by_zone.contains_key(zone) {
            return Reply::empty(404);
        }
        let call = if is_evacuated { "Begin" } else { "Finish" };
        log::info!("event=command call={call} zone={zone}");
        let zone = zone.to_string();
        let command = Command::SetEvacuation { zone, is_evacuated };
        self.submit(command, |_| Reply::empty(200))
    }

    fn explain(&self, query: &str) -> Reply {
        match (
            query_parameter(query, "host"),
            query_parameter(query, "path"),
        ) {
            (Some(host), Some(path)) => self.report(ReportQuery::Explain {
                host: host.into(),
                path: path.into(),
            }),
            _ => Reply::empty(400),
        }
    }

    fn report(&self, query: ReportQuery) -> Reply {
        let (reply, report) = bounded(1);
        if self
            .events
            .try_send(Event::Report { query, reply })
            .is_err()
        {
            return Reply::empty(503);
        }
        match report.recv_timeout(CALL_TIMEOUT) {
            Ok(report) => Reply::json(report.to_string().into_bytes()),
            Err(_) => Reply::empty(503),
        }
    }

    /// Submits a command and waits for its outcome. A command is acknowledged only after a majority of disks has stored
    /// its effect. A command that failed with 503 may still take effect.
    fn submit(&self, command: Command, acknowledge: impl Fn(&ReplicatedState) -> Reply) -> Reply {
        let (reply, outcome) = bounded(1);
        let event = Event::Command {
            command,
            received_at: Instant::now(),
            reply,
        };
        if self.events.try_send(event).is_err() {
            return Reply::empty(503);
        }
        match outcome.recv_timeout(CALL_TIMEOUT) {
            Ok(CommandOutcome::Committed(state)) => acknowledge(&state),
            // A 409 is final for operators, so it is sent only after the other text has been decided.
            Ok(CommandOutcome::VersionConflict) => {
                log::info!(
                    "event=command_refused why=\"{}\"",
                    VERSION_CONFLICT.trim_end()
                );
                Reply {
                    body: VERSION_CONFLICT.as_bytes().to_vec(),
                    ..Reply::empty(409)
                }
            }
            Ok(CommandOutcome::NoQuorum) | Err(_) => Reply::empty(503),
        }
    }
}

fn show_config(state: &ReplicatedState) -> Reply {
    let Some(config) = &state.config else {
        return Reply::empty(503);
    };
    match decompress(&config.compressed_text) {
        Some(text) => Reply::json(text),
        None => Reply::empty(500),
    }
}

/// Handles lookups of clients.
pub struct LookupApi {
    routes: Routes,
    directory: Arc<RwLock<Directory>>,
    /// The maximum time to live of an answer, in seconds.
    ttl_s: f64,
}

impl LookupApi {
    /// Creates an API that answers from `directory`.
    pub fn new(directory: Arc<RwLock<Directory>>, ttl_s: f64) -> LookupApi {
        LookupApi {
            routes: client_routes(),
            directory,
            ttl_s,
        }
    }

    /// Handles a call. The response to a lookup contains `ips` and `ttl-s`.
    pub fn handle(&self, now: Millis, request: &Request) -> Reply {
        let query = match match_path(&self.routes, &request.method, &request.path) {
            PathMatch::Call {
                call: Call::LookUp,
                query,
                ..
            } => query,
            PathMatch::Call { .. } | PathMatch::NotFound => return Reply::empty(404),
            PathMatch::MethodNotAllowed => return Reply::empty(405),
        };
        let region = query_parameter(query, "geo").unwrap_or("");
        let zone = query_parameter(query, "az").unwrap_or("");
        let directory = self.directory.read().unwrap_or_else(|e| e.into_inner());
        let answer = directory.look_up(now, region, zone, self.ttl_s);
        if answer.addresses.is_empty() {
            return Reply::empty(503);
        }
        let ips: Vec<String> = answer.addresses.iter().map(ToString::to_string).collect();
        let body = serde_json::json!({ "ips": ips, "ttl-s": answer.ttl_s });
        Reply::json(body.to_string().into_bytes())
    }
}
