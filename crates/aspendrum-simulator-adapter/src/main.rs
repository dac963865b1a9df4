//! Reads frames from standard input, passes each event to its instance, and writes one reply per
//! frame to standard output.

use aspendrum_simulator_adapter::adapter::Adapter;
use std::io::{self, Read, Write};
use std::process::ExitCode;

/// The size of the record count and the frame length, with which each frame starts.
const PREFIX_BYTES: usize = 8;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("aspendrum-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut adapter, mut frame, mut reply) = (Adapter::default(), Vec::new(), Vec::new());
    while read_frame(&mut input, &mut frame)? {
        adapter
            .process(&frame, &mut reply)
            .map_err(|error| error.to_string())?;
        let written = output.write_all(&reply).and_then(|()| output.flush());
        written.map_err(|error| format!("failed to write a reply: {error}"))?;
    }
    Ok(())
}

/// Replaces the contents of `frame` by the next frame. Returns false at the end of the input. The
/// buffer grows with the bytes received, so a wrong length in the frame cannot cause a large
/// allocation.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    frame.clear();
    read_up_to(input, PREFIX_BYTES as u64, frame)?;
    let Ok(prefix) = <[u8; PREFIX_BYTES]>::try_from(frame.as_slice()) else {
        return if frame.is_empty() {
            Ok(false)
        } else {
            Err("short frame: truncated header".into())
        };
    };
    let size = u64::from(u32::from_be_bytes([
        prefix[4], prefix[5], prefix[6], prefix[7],
    ]));
    read_up_to(input, size.saturating_sub(PREFIX_BYTES as u64), frame)?;
    if (frame.len() as u64) < size {
        return Err(format!("short frame: {} of {size} bytes", frame.len()));
    }
    Ok(true)
}

fn read_up_to(input: &mut impl Read, bytes: u64, frame: &mut Vec<u8>) -> Result<(), String> {
    let read = input.take(bytes).read_to_end(frame);
    read.map(|_| ())
        .map_err(|error| format!("failed to read a frame: {error}"))
}
