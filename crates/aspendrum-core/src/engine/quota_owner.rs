//! Quota ownership in large fleets: one instance decides on a tenant's quota for all of the
//! tenant's instances.
//!
//! With hundreds of instances, each sees only a small part of a tenant's traffic, and the shared
//! counter can take a call for only one request in three. Deciding the rest locally rejected a
//! quarter of the requests that had room, and admitted a sixth beyond the quota. Therefore one
//! instance of a tenant's set owns the quota and decides like an instance of a small fleet
//! (`DecisionEngine::decide_quota`); the others send it quota requests ([`routing`], [`replies`]).
//! While the counter is silent, instances spend tokens that they hold and transfer to each other
//! ([`tokens`]).

mod messages;
mod replies;
pub(super) mod reply_cache;
mod routing;
mod tokens;
