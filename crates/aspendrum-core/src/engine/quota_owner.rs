//! Large fleets: an instance that decides on a tenant's quota for all of the tenant's instances.
//!
//! With hundreds of instances none sees enough of a tenant, and the shared counter bears a call for
//! a third of the requests. The rest, decided without knowing of the others, refused a quarter of
//! what had room and let a sixth in beyond the quota. So one instance of a tenant's set owns the
//! quota and decides as an instance of a small fleet does (`DecisionEngine::decide_quota`); the
//! others ask it ([`routing`], [`replies`]). While the counter says nothing, instances spend tokens
//! that they hold and give to each other ([`tokens`]).

mod messages;
mod replies;
pub(super) mod reply_cache;
mod routing;
mod tokens;
