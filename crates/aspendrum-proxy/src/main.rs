//! The command-line entry point; the implementation is in the library.

use aspendrum_model::settings::Settings;
use aspendrum_net::daemon;
use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "A proxy that forwards clients' requests to servers";
    let check = || Settings::load().map(|settings| settings.host_name);
    daemon::run("aspendrum-proxy", about, check, aspendrum_proxy::serve)
}
