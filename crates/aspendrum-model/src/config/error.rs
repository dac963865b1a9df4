//! Errors in a configuration.

use derive_more::{Display, Error};

/// The first error found in a configuration. The text is shown to operators.
#[derive(Debug, Display, Error, PartialEq)]
pub enum ConfigError {
    /// The text is not JSON of the expected structure, or a value is invalid. Contains a description.
    #[display("it cannot be read whole: {_0}")]
    Unreadable(#[error(not(source))] String),
    /// A route refers to a service that the configuration does not define.
    #[display("route {route} names the service {service}, which is not there")]
    UnknownService {
        /// The name of the route.
        route: String,
        /// The name of the service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[display("two routes have the host {host} and the prefix {prefix}")]
    DuplicateRoute {
        /// The host, in lower case.
        host: String,
        /// The path prefix.
        prefix: String,
    },
    /// A weight of a route is negative or not a number, or the weights sum to 0.
    #[display("the weights of route {_0} come to nothing")]
    InvalidWeights(#[error(not(source))] String),
    /// The latency target of a route exceeds its timeout by a minute or more.
    #[display("the aim of route {_0} is a minute or more above its limit")]
    LatencyTargetAboveTimeout(#[error(not(source))] String),
    /// A route allows no attempts.
    #[display("route {_0} has no tries")]
    NoAttempts(#[error(not(source))] String),
    /// A number is negative.
    #[display("{field} of {owner} is below 0")]
    NegativeNumber {
        /// The path of the number in the configuration.
        field: &'static str,
        /// The name of the tenant, route or service; `caps` for the limits.
        owner: String,
    },
    /// A path prefix does not begin with a slash.
    #[display("the prefix {_0} does not begin with a slash")]
    RelativePrefix(#[error(not(source))] String),
    /// Two tenants have the same credential.
    #[display("two tenants have one key")]
    SharedKey,
}
