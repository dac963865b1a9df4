//! Reads batches from standard input, hands each event to its instance, writes one reply a batch.

use aspendrum_simulator_adapter::host::Host;
use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("aspendrum-simulator-adapter: {text}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut host, mut frame, mut reply) = (Host::default(), Vec::new(), Vec::new());
    while read_frame(&mut input, &mut frame)? {
        host.answer(&frame, &mut reply)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing a reply: {e}"))?;
    }
    Ok(())
}

/// Grows the buffer by what really arrives, never by what a length field claims.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    frame.clear();
    input
        .take(8)
        .read_to_end(frame)
        .map_err(|e| format!("reading a frame: {e}"))?;
    let Ok(head) = <[u8; 8]>::try_from(frame.as_slice()) else {
        return if frame.is_empty() {
            Ok(false)
        } else {
            Err("short frame: header cut off".into())
        };
    };
    let size = u64::from(u32::from_be_bytes([head[4], head[5], head[6], head[7]]));
    input
        .take(size.saturating_sub(8))
        .read_to_end(frame)
        .map_err(|e| format!("reading a frame: {e}"))?;
    if (frame.len() as u64) < size {
        return Err(format!("short frame: {} of {size} bytes", frame.len()));
    }
    Ok(true)
}
