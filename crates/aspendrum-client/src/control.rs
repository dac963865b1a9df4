//! Calls to control: to one of its nodes after another until one answers.

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
/// A control node without a majority says so within a second; a large configuration takes longer on its way.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// An order that no node acknowledges is given up then; it may be committed all the same.
const ORDER_TIMEOUT: Duration = Duration::from_secs(15);
/// Control nodes that have just lost their leader need a moment to elect another.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const STATUS_OK: u16 = 200;
const STATUS_REQUEST_TIMEOUT: u16 = 408;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;

/// The answer to an order: an acknowledgement, or a refusal that is final.
pub(crate) struct OrderReply {
    /// The status code.
    pub(crate) status: u16,
    /// The body.
    pub(crate) text: String,
}

/// The control nodes that the operator named.
pub(crate) struct Control {
    nodes: Vec<SocketAddrV4>,
}

impl Control {
    /// Control, by the operators' addresses of some of its nodes.
    pub(crate) fn new(nodes: &[SocketAddrV4]) -> Control {
        Control {
            nodes: nodes.to_vec(),
        }
    }

    /// Sends an order until a node acknowledges or refuses it.
    ///
    /// # Errors
    /// [`ClientError::NotAcknowledged`] if none did in time: the order may be committed all the same.
    pub(crate) fn send_order(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<OrderReply, ClientError> {
        let started_at = Instant::now();
        let mut last_failure = CallError::NoNode;
        while started_at.elapsed() < ORDER_TIMEOUT {
            for node in &self.nodes {
                match send_order_to(*node, method, path, body) {
                    Ok(reply) => return Ok(reply),
                    Err(failure) => last_failure = failure,
                }
            }
            sleep(RETRY_PAUSE);
        }
        Err(ClientError::NotAcknowledged {
            timeout: ORDER_TIMEOUT,
            last_failure,
        })
    }

    /// The newest configuration, as an operator sent it.
    pub(crate) fn newest_config(&self) -> Result<Vec<u8>, ClientError> {
        let reply = self.send_order("GET", "/api/Cfg.Show", b"")?;
        match reply.status {
            STATUS_OK => Ok(reply.text.into_bytes()),
            status => Err(ClientError::Refused { status }),
        }
    }

    /// What each version of the configuration that some node applies would do with a request, as JSON.
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

    /// What each control node that answers knows of the system's nodes, as JSON: of those that the operator named, and of
    /// those that they know of in turn. The ports of all control nodes are alike.
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

/// The control nodes that a report names.
fn control_nodes(report: &Value, port: u16) -> Vec<SocketAddrV4> {
    let names = report["control"].as_array().into_iter().flatten();
    let ips = names.filter_map(|ip| ip.as_str()?.parse::<Ipv4Addr>().ok());
    ips.map(|ip| SocketAddrV4::new(ip, port)).collect()
}

fn call(node: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> Result<Response, CallError> {
    let response = HttpClient::new(node, LIMITS).call(method, path, body, CALL_TIMEOUT);
    response.map_err(|source| CallError::NoResponse { node, source })
}

/// Sends an order to one node. An error may pass, at this node or at another one.
fn send_order_to(
    node: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<OrderReply, CallError> {
    let response = call(node, method, path, body)?;
    let status = response.status;
    if status >= 500 || status == STATUS_TOO_MANY_REQUESTS || status == STATUS_REQUEST_TIMEOUT {
        return Err(CallError::Status { node, status });
    }
    Ok(OrderReply {
        status,
        text: String::from_utf8_lossy(&response.body).into_owned(),
    })
}

/// Asks one node.
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
