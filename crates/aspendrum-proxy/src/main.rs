//! The command line. Everything else is in the library.

use aspendrum_model::settings::Settings;
use aspendrum_net::daemon;
use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "The proxy of the system: carries clients' queries to servers";
    daemon::run(
        "aspendrum-proxy",
        about,
        || Settings::load().map(|s| s.host_name),
        aspendrum_proxy::serve,
    )
}
