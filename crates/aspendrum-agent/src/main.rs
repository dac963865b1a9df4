//! The command line. Everything else is in the library.

use aspendrum_model::settings::Settings;
use aspendrum_net::daemon;
use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "The agent beside a proxy: keeps the link to control and feeds the proxy";
    let check = || Settings::load().map(|settings| settings.host_name);
    daemon::run("aspendrum-agent", about, check, aspendrum_agent::serve)
}
