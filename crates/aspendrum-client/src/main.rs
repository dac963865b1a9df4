//! The operators' client. Its exit status is 0 on success; 1 if a configuration is invalid or differs, a command was
//! refused, or nodes differ; and 2 if no control node gave a usable answer or a file cannot be read.

mod arguments;
mod control;
mod error;
mod node_table;
mod output;

use arguments::{arguments, Arguments, Command, EvacuationStep};
use aspendrum_model::config::Config;
use control::{CommandReply, ControlClient};
use error::ClientError;
use serde_json::Value;
use std::path::Path;
use std::process::ExitCode;

/// The exit status if no control node gave a usable answer or a file cannot be read.
const EXIT_ERROR: u8 = 2;
const STATUS_OK: u16 = 200;

fn main() -> ExitCode {
    match run(&arguments().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("aspendrum-client: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Runs one command. Returns whether it succeeded, that is, nothing was refused and no difference was found.
fn run(arguments: &Arguments) -> Result<bool, ClientError> {
    let control = ControlClient::new(&arguments.control_nodes);
    match &arguments.command {
        Command::Check { file } => check(file),
        Command::Put { file } => put(&control, file),
        Command::Show => show(&control),
        Command::Diff { file } => diff(&control, file),
        Command::Evacuate { step } => evacuate(&control, step),
        Command::Nodes => nodes(&control, arguments.json),
        Command::Explain { host, path } => explain(&control, host, path, arguments.json),
    }
}

fn check(file: &Path) -> Result<bool, ClientError> {
    let Some(config) = read_valid_config(file)? else {
        return Ok(false);
    };
    println!("{}", output::summary(&config));
    Ok(true)
}

fn put(control: &ControlClient, file: &Path) -> Result<bool, ClientError> {
    let Some(config) = read_valid_config(file)? else {
        return Ok(false);
    };
    let reply = control.send_command("POST", "/api/Cfg.Set", &read_file(file)?)?;
    Ok(print_command_result(
        &reply,
        &format!("version {:08x} is stored", config.version),
    ))
}

fn show(control: &ControlClient) -> Result<bool, ClientError> {
    println!("{}", String::from_utf8_lossy(&control.current_config()?));
    Ok(true)
}

fn diff(control: &ControlClient, file: &Path) -> Result<bool, ClientError> {
    let Some(new) = read_valid_config(file)? else {
        return Ok(false);
    };
    let old = Config::read(&control.current_config()?)?;
    let changes = output::changes(&old, &new);
    changes.iter().for_each(|change| println!("{change}"));
    Ok(changes.is_empty())
}

fn evacuate(control: &ControlClient, step: &EvacuationStep) -> Result<bool, ClientError> {
    let (verb, effect, zone) = match step {
        EvacuationStep::Begin { zone } => ("Begin", "start", zone),
        EvacuationStep::Finish { zone } => ("Finish", "end", zone),
    };
    let reply = control.send_command("POST", &format!("/api/Evac.{verb}/{zone}"), b"")?;
    let effect = format!("the {effect} of the evacuation of {zone} is stored");
    Ok(print_command_result(&reply, &effect))
}

fn nodes(control: &ControlClient, json: bool) -> Result<bool, ClientError> {
    let reports = control.node_reports()?;
    print!(
        "{}",
        if json {
            output::json(&reports)
        } else {
            node_table::node_table(&reports)
        }
    );
    Ok(node_table::all_agree(&reports))
}

fn explain(
    control: &ControlClient,
    host: &str,
    path: &str,
    json: bool,
) -> Result<bool, ClientError> {
    let explanation: Value = control.explain(host, path)?;
    let reports = control.node_reports()?;
    let text = if json {
        output::json(&explanation)
    } else {
        output::explanation(&explanation, &reports)
    };
    print!("{text}");
    Ok(true)
}

fn read_file(file: &Path) -> Result<Vec<u8>, ClientError> {
    std::fs::read(file).map_err(|source| ClientError::UnreadableFile {
        file: file.to_path_buf(),
        source,
    })
}

/// Reads a configuration from a file. If it is invalid, prints the reason and returns `None`.
fn read_valid_config(file: &Path) -> Result<Option<Config>, ClientError> {
    match Config::read_submitted(&read_file(file)?) {
        Ok(config) => Ok(Some(config)),
        Err(error) => {
            eprintln!("{}: {error}", file.display());
            Ok(None)
        }
    }
}

/// Prints the result of a command, and returns whether it was acknowledged. `effect` describes the acknowledged
/// command.
fn print_command_result(reply: &CommandReply, effect: &str) -> bool {
    let is_acknowledged = reply.status == STATUS_OK;
    if is_acknowledged {
        println!("{effect} by a majority of the control nodes' disks");
    } else {
        eprintln!("refused with {}: {}", reply.status, reply.text.trim());
    }
    is_acknowledged
}
