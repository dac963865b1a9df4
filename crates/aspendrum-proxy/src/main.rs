//! The command line. Everything else is in the library.

use aspendrum_model::settings::Settings;
use aspendrum_net::daemon;
use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "The proxy of the system: carries clients' queries to servers";
    let check = || Settings::load().map(|settings| settings.host_name);
    daemon::run("aspendrum-proxy", about, check, aspendrum_proxy::serve)
}
