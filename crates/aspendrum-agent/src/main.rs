//! Command-line entry point of the agent; the implementation is in the library.

use aspendrum_model::settings::Settings;
use aspendrum_net::daemon;
use std::process::ExitCode;

fn main() -> ExitCode {
    let about =
        "Per-proxy agent: maintains the connection to the control plane and updates the proxy";
    let check = || Settings::load().map(|settings| settings.host_name);
    daemon::run("aspendrum-agent", about, check, aspendrum_agent::serve)
}
