//! HTTP/1.1 as the protocol page defines it: clients' requests in, forwarded requests out, responses both ways. The names of
//! headers and the status codes stay in here.

mod fields;
mod forwarded;
mod load_report;
mod request;
mod response;
mod server_response;
pub mod status;

pub use aspendrum_net::http1::Parsed;
pub use forwarded::{write_get, HEALTH_CHECK_PATH, LOAD_REPORT_PATH};
pub use load_report::parse_load_report;
pub use request::{parse_request, ClientRequest, IncomingRequest};
pub use response::OwnResponse;
pub use server_response::{parse_server_response, ServerResponse};

use aspendrum_core::api::{LoadValue, Semantics};
use std::collections::HashMap;

/// What parsing messages needs to know of the configuration.
pub struct MessageSchema {
    /// The numbers of endpoint groups, by name.
    pub group_numbers: HashMap<String, u16>,
    /// The numbers of plans, by name.
    pub plan_numbers: HashMap<String, u32>,
    /// Whether the requests of each endpoint group may run more than once, by number.
    pub semantics: Vec<Semantics>,
    /// How many limiters there are.
    pub limiters: f64,
    /// The most units that one request takes.
    pub max_units: f64,
    /// The values of load reports that the decision core uses.
    pub load_values: Vec<LoadValue>,
}

impl MessageSchema {
    /// Whether the requests of that group may run any number of times.
    pub(crate) fn is_idempotent(&self, group: u16) -> bool {
        self.semantics.get(usize::from(group)) == Some(&Semantics::Idempotent)
    }
}
