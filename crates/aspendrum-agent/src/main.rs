//! The command line. Everything else is in the library.

use aspendrum_model::settings::Settings;
use aspendrum_net::daemon;
use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "The agent beside a proxy: keeps the link to control and feeds the proxy";
    let check = || Settings::load().map(|settings| settings.host);
    daemon::run("aspendrum-agent", about, check, |signals| {
        aspendrum_agent::serve(signals).map_err(|error| error.to_string())
    })
}
