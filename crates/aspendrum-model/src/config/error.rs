//! Why a configuration is refused.

use derive_more::{Display, Error};

/// The first fault that was found in a configuration. Operators see its text.
#[derive(Debug, Display, Error, PartialEq)]
pub enum ConfigError {
    /// The text is not JSON of the expected form; says where.
    #[display("it cannot be read whole: {_0}")]
    Unreadable(#[error(not(source))] String),
    /// A route leads to a service that the configuration does not define.
    #[display("route {route} names the service {service}, which is not there")]
    UnknownService {
        /// The route's name.
        route: String,
        /// The service's name.
        service: String,
    },
    /// Two routes match the same requests.
    #[display("two routes have the host {host} and the prefix {prefix}")]
    DuplicateRoute {
        /// The host of both, in lower case.
        host: String,
        /// The path prefix of both.
        prefix: String,
    },
    /// The weights of a route's services are negative, not numbers, or sum to 0.
    #[display("the weights of route {_0} come to nothing")]
    NoWeight(#[error(not(source))] String),
    /// The latency target of a route is a minute or more above its time-out.
    #[display("the aim of route {_0} is a minute or more above its limit")]
    LatencyTargetAboveTimeout(#[error(not(source))] String),
    /// A route allows no attempts.
    #[display("route {_0} has no tries")]
    NoAttempts(#[error(not(source))] String),
    /// A path prefix does not begin with a slash.
    #[display("the prefix {_0} does not begin with a slash")]
    RelativePrefix(#[error(not(source))] String),
    /// Two tenants have one credential.
    #[display("two tenants have one key")]
    SharedKey,
}
