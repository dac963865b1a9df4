//! The life of one request, on the thread of its client's connection. Its phases, in order:
//!
//! 1. `filter::request_filter` finds its route and tenant, or rejects it.
//! 2. `RequestContext::proxy` admits it to the dispatcher and waits for decisions.
//! 3. For each decision to forward it, `UpstreamRequest::upstream_peer` connects to the server,
//!    `UpstreamRequest::exchange` sends it and reads the answer, and `upstream_response_filter` classes that;
//!    `UpstreamRequest::fail_to_connect` and `RequestContext::fail_to_proxy` say what a failure means.
//! 4. One answer goes to the client, whatever happened.

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

/// Serves a request that was read at that time.
pub fn handle(
    state: &ProxyState,
    session: &ClientSession,
    request: &Request,
    received_at: Instant,
) -> ClientResponse {
    let target = match filter::request_filter(state, request) {
        Ok(target) => target,
        Err(rejection) => return rejection,
    };
    let upstream = UpstreamRequest::new(state, session, request, received_at, target);
    let response = RequestContext::new(upstream).proxy();
    session.connection.end_request();
    response
}

/// The answer to a request that is not taken: it has not run, and another proxy may take it.
pub fn reject(request: &Request) -> ClientResponse {
    let head = RequestHead::parse(request);
    ClientResponse::send_elsewhere(head.map_or("", |head| head.try_id))
}
