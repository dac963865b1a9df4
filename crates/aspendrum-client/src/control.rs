//! Calls to the control plane. The control nodes are tried in turn until one responds.

use crate::error::{CallError, ClientError};
use aspendrum_net::http1::{MessageLimits, Response};
use aspendrum_net::http_client::HttpClient;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::thread::sleep;
use std::time::{Duration, Instant};

const LIMITS: MessageLimits = MessageLimits {
    head_bytes: 16 << 10,
    body_bytes: 64 << 20,
};
/// The timeout of one call. A control node without a majority responds within a second; the rest is for the transfer of
/// a large configuration.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The time after which a command that no node has acknowledged is abandoned. It may still be committed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(15);
/// The delay before a command is retried after all nodes have failed to acknowledge it. A majority may need a moment to
/// become available.
const RETRY_DELAY: Duration = Duration::from_millis(200);
const STATUS_OK: u16 = 200;
const STATUS_REQUEST_TIMEOUT: u16 = 408;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;

/// The response to a command: an acknowledgement or a final refusal.
pub(crate) struct CommandReply {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The response body.
    pub(crate) text: String,
}

/// A client of the control plane that calls the control nodes given on the command line.
pub(crate) struct ControlClient {
    nodes: Vec<SocketAddrV4>,
}

impl ControlClient {
    /// Creates a client for the control plane from the operator addresses of some of its nodes.
    pub(crate) fn new(nodes: &[SocketAddrV4]) -> ControlClient {
        ControlClient {
            nodes: nodes.to_vec(),
        }
    }

    /// Sends a command, with retries, until a node acknowledges or refuses it.
    ///
    /// # Errors
    /// Returns [`ClientError::NotAcknowledged`] if no node acknowledged or refused it in time. The command may still be
    /// committed.
    pub(crate) fn send_command(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<CommandReply, ClientError> {
        let started_at = Instant::now();
        let mut last_failure = CallError::NoNode;
        while started_at.elapsed() < COMMAND_TIMEOUT {
            for node in &self.nodes {
                match send_command_to(*node, method, path, body) {
                    Ok(reply) => return Ok(reply),
                    Err(failure) => last_failure = failure,
                }
            }
            sleep(RETRY_DELAY);
        }
        Err(ClientError::NotAcknowledged {
            timeout: COMMAND_TIMEOUT,
            last_failure,
        })
    }

    /// Returns the current configuration as an operator uploaded it.
    pub(crate) fn current_config(&self) -> Result<Vec<u8>, ClientError> {
        let reply = self.send_command("GET", "/api/Cfg.Show", b"")?;
        match reply.status {
            STATUS_OK => Ok(reply.text.into_bytes()),
            status => Err(ClientError::Refused { status }),
        }
    }

    /// Returns as JSON how each recent configuration version routes a request.
    pub(crate) fn explain(&self, host: &str, path: &str) -> Result<Value, ClientError> {
        let path = format!("/api/Explain?host={host}&path={path}");
        let mut last_failure = CallError::NoNode;
        for node in &self.nodes {
            match query(*node, &path) {
                Ok(explanation) => return Ok(explanation),
                Err(failure) => last_failure = failure,
            }
        }
        Err(ClientError::NoAnswer(last_failure))
    }

    /// Returns the JSON node report of every control node that responds. The search starts with the nodes given on the
    /// command line and follows the control nodes in each report. All control nodes use the same port.
    pub(crate) fn node_reports(&self) -> Result<Vec<Value>, ClientError> {
        let mut pending: Vec<SocketAddrV4> = self.nodes.clone();
        let (mut visited, mut reports) = (BTreeSet::new(), Vec::new());
        let mut last_failure = CallError::NoNode;
        while let Some(node) = pending.pop() {
            if !visited.insert(node) {
                continue;
            }
            match query(node, "/api/Nodes") {
                Ok(report) => {
                    pending.extend(control_nodes(&report, node.port()));
                    reports.push(report);
                }
                Err(failure) => last_failure = failure,
            }
        }
        if reports.is_empty() {
            return Err(ClientError::NoAnswer(last_failure));
        }
        Ok(reports)
    }
}

/// Returns the addresses of the control nodes in a report.
fn control_nodes(report: &Value, port: u16) -> Vec<SocketAddrV4> {
    let names = report["control"].as_array().into_iter().flatten();
    let ips = names.filter_map(|ip| ip.as_str()?.parse::<Ipv4Addr>().ok());
    ips.map(|ip| SocketAddrV4::new(ip, port)).collect()
}

fn call(node: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> Result<Response, CallError> {
    let response = HttpClient::new(node, LIMITS).call(method, path, body, CALL_TIMEOUT);
    response.map_err(|source| CallError::NoResponse { node, source })
}

/// Sends a command to one node. After an error, the command may be retried at this or another node.
fn send_command_to(
    node: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<CommandReply, CallError> {
    let response = call(node, method, path, body)?;
    let status = response.status;
    if status >= 500 || status == STATUS_TOO_MANY_REQUESTS || status == STATUS_REQUEST_TIMEOUT {
        return Err(CallError::Status { node, status });
    }
    Ok(CommandReply {
        status,
        text: String::from_utf8_lossy(&response.body).into_owned(),
    })
}

/// Sends a query to one node and parses the response as JSON.
fn query(node: SocketAddrV4, path: &str) -> Result<Value, CallError> {
    let response = call(node, "GET", path, b"")?;
    match response.status {
        STATUS_OK => {
            let json = serde_json::from_slice(&response.body);
            json.map_err(|source| CallError::InvalidJson { node, source })
        }
        status => Err(CallError::Status { node, status }),
    }
}
