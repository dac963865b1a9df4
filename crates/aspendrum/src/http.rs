//! Parsing and serialization of HTTP/1.1 messages as specified by the protocol page. All header names and status codes
//! are defined here.

mod fields;
mod forwarded;
mod load_report;
mod request;
mod response;
mod schema;
mod server_response;
pub mod status;

pub use aspendrum_net::http1::Parsed;
pub use forwarded::{write_get, HEALTH_CHECK_PATH, LOAD_REPORT_PATH};
pub use load_report::parse_load_report;
pub use request::{parse_request, ClientRequest, IncomingRequest};
pub use response::ClientResponse;
pub use schema::MessageSchema;
pub use server_response::{parse_server_response, ServerResponse};
