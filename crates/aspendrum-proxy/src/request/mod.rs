//! Request handling, on the thread of the client's connection. The phases of a request, in order:
//!
//! 1. `filter::request_filter` finds the route and the tenant, or rejects the request.
//! 2. `RequestContext::proxy` admits the request to the dispatcher and waits for decisions.
//! 3. For each decision to forward the request, `UpstreamRequest::upstream_peer` connects to the server,
//!    `UpstreamRequest::exchange` sends the request and reads the response, and `upstream_response_filter`
//!    classifies it. `UpstreamRequest::fail_to_connect` decides the outcome of a connection that was not opened.
//! 4. The client gets exactly one response. If no server completed the request, `RequestContext::fail_to_proxy`
//!    selects the last error response of a server, or generates one.
//!
//! `request_filter`, `upstream_peer`, `fail_to_connect`, `upstream_response_filter` and `fail_to_proxy` are named after
//! the phases of Pingora's proxy trait.

mod context;
mod filter;
mod upstream;

use crate::response::ClientResponse;
use crate::session::ClientSession;
use crate::state::ProxyState;
use crate::wire::RequestHead;
use aspendrum_net::http1::Request;
use context::RequestContext;
use std::time::Instant;
use upstream::UpstreamRequest;

/// Handles a request that was read at `received_at`.
pub fn handle(
    state: &ProxyState,
    session: &ClientSession,
    request: &Request,
    received_at: Instant,
) -> ClientResponse {
    let target = match filter::request_filter(state, request) {
        Ok(target) => target,
        Err(rejection) => return *rejection,
    };
    let upstream = UpstreamRequest::new(state, session, request, received_at, target);
    let response = RequestContext::new(upstream).proxy();
    session.connection.end_request();
    response
}

/// Returns the response to a request that is not accepted: it has not run, and another proxy may serve it.
pub fn reject(request: &Request) -> ClientResponse {
    let head = RequestHead::parse(request);
    ClientResponse::retry_on_other_proxy(head.map_or("", |head| head.try_id))
}
