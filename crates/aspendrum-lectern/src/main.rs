//! The command line. Everything else is in the library.

use aspendrum_catalog::settings::Settings;
use aspendrum_folio::daemon;
use aspendrum_lectern::serve;
use bpaf::Bpaf;
use std::process::ExitCode;

/// The proxy of the system: carries clients' queries to servers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Line {
    /// Runs in the foreground until SIGTERM; SIGHUP reads the settings again
    #[bpaf(command)]
    Serve,
    /// Reads and checks the settings, and says what is wrong with them
    #[bpaf(command("check-settings"))]
    CheckSettings,
}

fn main() -> ExitCode {
    let done = daemon::log(log::LevelFilter::Info).and_then(|()| match line().run() {
        Line::Serve => serve(),
        Line::CheckSettings => Settings::load().map(|s| println!("{}: well-formed", s.host)),
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("lectern: {why}");
            ExitCode::FAILURE
        }
    }
}
