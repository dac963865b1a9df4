//! The operators' client. Its exit status is 0 when all is well, 1 when control refused something or nodes differ, and 2
//! when nobody answered or a file cannot be read.

mod arguments;
mod control;
mod error;
mod node_table;
mod output;

use arguments::{arguments, Arguments, Command, EvacuationStep};
use aspendrum_model::config::Config;
use control::{Control, OrderReply};
use error::ClientError;
use serde_json::Value;
use std::path::Path;
use std::process::ExitCode;

/// Control did not answer, or a file cannot be read.
const EXIT_NO_ANSWER: u8 = 2;
const STATUS_OK: u16 = 200;

fn main() -> ExitCode {
    match run(&arguments().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("aspendrum-client: {why}");
            ExitCode::from(EXIT_NO_ANSWER)
        }
    }
}

/// Runs one command. Returns whether all is well: nothing was refused, and nothing differs.
fn run(arguments: &Arguments) -> Result<bool, ClientError> {
    let control = Control::new(&arguments.control_nodes);
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

fn put(control: &Control, file: &Path) -> Result<bool, ClientError> {
    let Some(config) = read_valid_config(file)? else {
        return Ok(false);
    };
    let reply = control.send_order("POST", "/api/Cfg.Set", &read_file(file)?)?;
    Ok(print_order_result(
        &reply,
        &format!("version {:08x} is held", config.version),
    ))
}

fn show(control: &Control) -> Result<bool, ClientError> {
    println!("{}", String::from_utf8_lossy(&control.newest_config()?));
    Ok(true)
}

fn diff(control: &Control, file: &Path) -> Result<bool, ClientError> {
    let Some(new) = read_valid_config(file)? else {
        return Ok(false);
    };
    let old = Config::read(&control.newest_config()?)?;
    let changes = output::changes(&old, &new);
    changes.iter().for_each(|change| println!("{change}"));
    Ok(changes.is_empty())
}

fn evacuate(control: &Control, step: &EvacuationStep) -> Result<bool, ClientError> {
    let (verb, zone) = match step {
        EvacuationStep::Begin { zone } => ("Begin", zone),
        EvacuationStep::Finish { zone } => ("Finish", zone),
    };
    let reply = control.send_order("POST", &format!("/api/Evac.{verb}/{zone}"), b"")?;
    let done = format!("the evacuation's {} in {zone} is held", verb.to_lowercase());
    Ok(print_order_result(&reply, &done))
}

fn nodes(control: &Control, json: bool) -> Result<bool, ClientError> {
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

fn explain(control: &Control, host: &str, path: &str, json: bool) -> Result<bool, ClientError> {
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

/// The configuration in a file. `None` if it is invalid; why was printed.
fn read_valid_config(file: &Path) -> Result<Option<Config>, ClientError> {
    match Config::read(&read_file(file)?) {
        Ok(config) => Ok(Some(config)),
        Err(why) => {
            eprintln!("{}: {why}", file.display());
            Ok(None)
        }
    }
}

/// Prints what control answered to an order, and returns whether it was acknowledged.
fn print_order_result(reply: &OrderReply, done: &str) -> bool {
    let is_acknowledged = reply.status == STATUS_OK;
    if is_acknowledged {
        println!("{done} by a majority of control's disks");
    } else {
        eprintln!("refused with {}: {}", reply.status, reply.text.trim());
    }
    is_acknowledged
}
