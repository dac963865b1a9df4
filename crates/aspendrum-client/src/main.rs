//! The operators' client. Ends with 0 when all is well, 1 when something was refused or differs, 2 when nobody
//! answered or a file cannot be read.

mod control;
mod shown;

use aspendrum_model::config::Config;
use bpaf::Bpaf;
use control::Control;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;

/// The operators' client of the system
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Line {
    /// A machine of control, its ctl address; the next one named is asked where one does not answer
    #[bpaf(
        long("at"),
        argument("IP:PORT"),
        some("name a machine of control with --at IP:PORT")
    )]
    at: Vec<SocketAddrV4>,
    /// Prints what control said as it is
    #[bpaf(long("json"))]
    json: bool,
    #[bpaf(external)]
    what: What,
}

#[derive(Clone, Debug, Bpaf)]
enum What {
    /// Sends a configuration until a majority of disks holds it, or it is refused
    #[bpaf(command)]
    Put {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// The newest configuration, as it was sent
    #[bpaf(command)]
    Show,
    /// Checks a configuration as control does, without asking anybody
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// What a configuration would change of the newest one; ends with 1 if it would
    #[bpaf(command)]
    Diff {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Begins or finishes the evacuation of a zone
    #[bpaf(command)]
    Evacuate {
        #[bpaf(external)]
        turn: Turn,
    },
    /// Each node: what was decided, what it applied, since when it differs; ends with 1 if any does
    #[bpaf(command)]
    Nodes,
    /// What each version would do with a request, and how many nodes apply which
    #[bpaf(command)]
    Explain {
        #[bpaf(positional("HOST"))]
        host: String,
        #[bpaf(positional("PATH"))]
        path: String,
    },
}

#[derive(Clone, Debug, Bpaf)]
enum Turn {
    /// Nothing more is sent to the zone's servers
    #[bpaf(command)]
    Begin {
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
    /// The zone is taken back
    #[bpaf(command)]
    Finish {
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
}

fn main() -> ExitCode {
    let line = line().run();
    match run(&line) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("aspendrum-client: {why}");
            ExitCode::from(2)
        }
    }
}

fn run(line: &Line) -> Result<bool, String> {
    let control = Control::new(&line.at);
    match &line.what {
        What::Check { file } => Ok(checked(file)?
            .map(|c| println!("{}", shown::summary(&c)))
            .is_some()),
        What::Put { file } => {
            let Some(config) = checked(file)? else {
                return Ok(false);
            };
            let version = config.version;
            ordered(
                control.order("POST", "/api/Cfg.Set", &read(file)?)?,
                &format!("version {version:08x} is held"),
            )
        }
        What::Show => {
            println!("{}", String::from_utf8_lossy(&control.show()?));
            Ok(true)
        }
        What::Diff { file } => {
            let Some(new) = checked(file)? else {
                return Ok(false);
            };
            let old = Config::read(&control.show()?).map_err(|e| e.to_string())?;
            let changes = shown::changes(&old, &new);
            changes.iter().for_each(|c| println!("{c}"));
            Ok(changes.is_empty())
        }
        What::Evacuate { turn } => {
            let (word, zone) = match turn {
                Turn::Begin { zone } => ("Begin", zone),
                Turn::Finish { zone } => ("Finish", zone),
            };
            let done = format!("the evacuation's {} in {zone} is held", word.to_lowercase());
            ordered(
                control.order("POST", &format!("/api/Evac.{word}/{zone}"), b"")?,
                &done,
            )
        }
        What::Nodes => {
            let told = control.nodes()?;
            print!(
                "{}",
                if line.json {
                    shown::json(&told)
                } else {
                    shown::nodes(&told)
                }
            );
            Ok(shown::agree(&told))
        }
        What::Explain { host, path } => {
            let told = control.explain(host, path)?;
            let nodes = control.nodes()?;
            print!(
                "{}",
                if line.json {
                    shown::json(&told)
                } else {
                    shown::explained(&told, &nodes)
                }
            );
            Ok(true)
        }
    }
}

fn read(file: &PathBuf) -> Result<Vec<u8>, String> {
    std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))
}

/// None: it is invalid, and why was said.
fn checked(file: &PathBuf) -> Result<Option<Config>, String> {
    Ok(Config::read(&read(file)?)
        .map_err(|fault| eprintln!("{}: {fault}", file.display()))
        .ok())
}

fn ordered((status, text): (u16, String), done: &str) -> Result<bool, String> {
    match status {
        200 => println!("{done} by a majority of control's disks"),
        _ => eprintln!("refused with {status}: {}", text.trim()),
    }
    Ok(status == 200)
}
