//! The first phase of a request: by which route and for which tenant it runs, or why it is rejected.

use crate::dispatcher::ConfigSnapshot;
use crate::response::{ClientResponse, ConnectionPolicy};
use crate::state::ProxyState;
use crate::wire::RequestHead;
use aspendrum_model::config::Route;
use aspendrum_net::http1::Request;
use std::sync::Arc;

/// Where a request goes, by the configuration that was in force when it came.
pub(super) struct RequestTarget<'r> {
    pub(super) head: RequestHead<'r>,
    pub(super) snapshot: Arc<ConfigSnapshot>,
    /// The number of its route.
    pub(super) route: usize,
    /// The number of its tenant.
    pub(super) tenant: Option<usize>,
    /// The pool of its service.
    pub(super) pool: u16,
    /// Regions whose servers may run it, a bit each.
    pub(super) regions: u64,
    pub(super) policy: ConnectionPolicy,
}

impl RequestTarget<'_> {
    pub(super) fn rule(&self) -> &Route {
        &self.snapshot.config.routes[self.route]
    }

    pub(super) fn tenant_name(&self) -> Option<&str> {
        let tenants = self.snapshot.config.tenants.as_ref()?;
        self.tenant.map(|tenant| tenants[tenant].name.as_str())
    }

    /// The key by which its tenant was found.
    pub(super) fn credential(&self) -> Option<&'_ str> {
        self.head.credential.filter(|_| self.tenant.is_some())
    }
}

/// Finds where a request goes, or the answer that rejects it: by a table that may be outdated nothing is refused for good.
pub(super) fn request_filter<'r>(
    state: &ProxyState,
    request: &'r Request,
) -> Result<RequestTarget<'r>, ClientResponse> {
    let policy = if request.close {
        ConnectionPolicy::Close
    } else {
        ConnectionPolicy::KeepAlive
    };
    let head = RequestHead::parse(request);
    let head = head.ok_or_else(|| ClientResponse::generated(400, "", None, policy))?;
    let refuse = |status| refuse_if_current(state, head.try_id, status, policy);
    let has_path = request.path.starts_with('/');
    let snapshot = state.dispatcher.snapshot().filter(|_| has_path);
    let snapshot = snapshot.ok_or_else(|| ClientResponse::send_elsewhere(head.try_id))?;
    let route = snapshot.config.route(head.host, &request.path);
    let route = route.ok_or_else(|| refuse(404))?;
    let rule = &snapshot.config.routes[route];
    let tenant = find_tenant(&snapshot, rule, head.credential);
    let tenant = tenant.map_err(|Unauthorized| refuse(401))?;
    // A credential may have been revoked without this proxy's knowledge: the lease says that none was, up to now.
    let is_authentic = tenant.is_none() || state.credentials_are_valid();
    // A request may belong elsewhere by now, and another proxy knows where. One that may be repeated goes on.
    let may_run = || rule.idempotent || state.is_current();
    if !is_authentic || !may_run() {
        return Err(ClientResponse::send_elsewhere(head.try_id));
    }
    let tenant_regions = tenant.map_or(u64::MAX, |tenant| snapshot.tenant_regions[tenant]);
    let regions = snapshot.route_regions[route] & tenant_regions;
    let pool = snapshot.pools.get(rule.service(fastrand::f64())).copied();
    // Each service of a configuration has a pool.
    let pool = pool.ok_or_else(|| ClientResponse::send_elsewhere(head.try_id))?;
    Ok(RequestTarget {
        head,
        snapshot,
        route,
        tenant,
        pool,
        regions,
        policy,
    })
}

/// Refuses a request for good by what is in force. What an outdated table does not allow may have been allowed since, and a
/// client does not come again after such an answer: it is sent elsewhere.
fn refuse_if_current(
    state: &ProxyState,
    try_id: &str,
    status: u16,
    policy: ConnectionPolicy,
) -> ClientResponse {
    if state.is_current() {
        ClientResponse::generated(status, try_id, None, policy)
    } else {
        ClientResponse::send_elsewhere(try_id)
    }
}

/// The request bears no credential of a tenant, and its route needs one.
struct Unauthorized;

fn find_tenant(
    snapshot: &ConfigSnapshot,
    rule: &Route,
    credential: Option<&str>,
) -> Result<Option<usize>, Unauthorized> {
    if snapshot.config.tenants.is_none() {
        return Ok(None);
    }
    let tenant = credential.and_then(|credential| snapshot.config.tenant(credential));
    match tenant {
        None if !rule.is_public => Err(Unauthorized),
        tenant => Ok(tenant),
    }
}
