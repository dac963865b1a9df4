//! The first phase of request handling: finds the route and the tenant of a request, or rejects it.

use crate::dispatcher::ConfigSnapshot;
use crate::response::{ClientResponse, ConnectionPolicy};
use crate::state::ProxyState;
use crate::wire::RequestHead;
use aspendrum_core::api::ZoneSet;
use aspendrum_model::config::Route;
use aspendrum_net::http1::Request;
use std::sync::Arc;

/// The destination of a request, based on the configuration that was active when the request arrived.
pub(super) struct RequestTarget<'r> {
    pub(super) head: RequestHead<'r>,
    pub(super) snapshot: Arc<ConfigSnapshot>,
    /// The index of the route in the configuration.
    pub(super) route: usize,
    /// The index of the tenant in the configuration.
    pub(super) tenant: Option<usize>,
    /// The pool number of the service.
    pub(super) pool: u16,
    /// The numbers of the regions whose servers may run the request.
    pub(super) regions: ZoneSet,
    pub(super) policy: ConnectionPolicy,
}

impl RequestTarget<'_> {
    pub(super) fn route_config(&self) -> &Route {
        &self.snapshot.config.routes[self.route]
    }

    pub(super) fn tenant_name(&self) -> Option<&str> {
        let tenants = self.snapshot.config.tenants.as_ref()?;
        self.tenant.map(|tenant| tenants[tenant].name.as_str())
    }

    /// Returns the credential that identified the tenant.
    pub(super) fn credential(&self) -> Option<&'_ str> {
        self.head.credential.filter(|_| self.tenant.is_some())
    }
}

/// Finds the destination of a request, or returns the response that rejects it. A configuration that may be outdated
/// never leads to a permanent rejection.
pub(super) fn request_filter<'r>(
    state: &ProxyState,
    request: &'r Request,
) -> Result<RequestTarget<'r>, Box<ClientResponse>> {
    let policy = if request.closes_connection {
        ConnectionPolicy::Close
    } else {
        ConnectionPolicy::KeepAlive
    };
    let head = RequestHead::parse(request);
    let head = head.ok_or_else(|| ClientResponse::generated(400, "", None, policy))?;
    let reject = |status| reject_if_current(state, head.try_id, status, policy);
    let has_path = request.path.starts_with('/');
    let snapshot = state.dispatcher.snapshot().filter(|_| has_path);
    let snapshot = snapshot.ok_or_else(|| ClientResponse::retry_on_other_proxy(head.try_id))?;
    let route = snapshot.config.route(head.host, &request.path);
    let route = route.ok_or_else(|| reject(404))?;
    let route_config = &snapshot.config.routes[route];
    let tenant = find_tenant(&snapshot, route_config, head.credential);
    let tenant = tenant.map_err(|Unauthorized| reject(401))?;
    // A credential may have been revoked without this proxy's knowledge, unless its lease on credentials is valid.
    let is_authentic = tenant.is_none() || state.has_credential_lease();
    // A newer configuration may route the request differently. Unless this proxy is up to date, a non-idempotent
    // request is therefore left to one that is.
    let may_run = || route_config.is_idempotent || state.is_current();
    if !is_authentic || !may_run() {
        return Err(ClientResponse::retry_on_other_proxy(head.try_id).into());
    }
    let tenant_regions = tenant.map_or(ZoneSet::ALL, |tenant| snapshot.tenant_regions[tenant]);
    let regions = snapshot.route_regions[route].intersection(&tenant_regions);
    let pool = snapshot
        .pools
        .get(route_config.select_service(fastrand::f64()))
        .copied();
    // A service lacks a pool only if this proxy has seen more services than there are pool numbers.
    let pool = pool.ok_or_else(|| ClientResponse::retry_on_other_proxy(head.try_id))?;
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

/// Rejects a request with a permanent error if the active configuration is known to be current. Otherwise a newer
/// configuration may allow the request. The client would not retry after a permanent error, so it is sent to another
/// proxy instead.
fn reject_if_current(
    state: &ProxyState,
    try_id: &str,
    status: u16,
    policy: ConnectionPolicy,
) -> ClientResponse {
    if state.is_current() {
        ClientResponse::generated(status, try_id, None, policy)
    } else {
        ClientResponse::retry_on_other_proxy(try_id)
    }
}

/// The error for a request that lacks the tenant credential required by its route.
struct Unauthorized;

fn find_tenant(
    snapshot: &ConfigSnapshot,
    route_config: &Route,
    credential: Option<&str>,
) -> Result<Option<usize>, Unauthorized> {
    if snapshot.config.tenants.is_none() {
        return Ok(None);
    }
    let tenant = credential.and_then(|credential| snapshot.config.tenant(credential));
    match tenant {
        None if !route_config.is_public => Err(Unauthorized),
        tenant => Ok(tenant),
    }
}
