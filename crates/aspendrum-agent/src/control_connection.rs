//! Maintains a connection to a control node, preferring the nearest one, and reconnects when it ends.

use crate::control_endpoints::ControlEndpoints;
use crate::event::Event;
use aspendrum_model::message::FromControl;
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, Frame, FrameSender};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_net::threads::spawn;
use std::io::{self, BufReader};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 96 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
const RECONNECT_DELAY: Duration = Duration::from_millis(60);
/// TCP user timeout: the connection fails if the control node does not acknowledge sent bytes within this time.
const ACK_TIMEOUT: Duration = Duration::from_millis(1200);
/// The maximum number of messages queued for writing.
const SEND_QUEUE_CAPACITY: usize = 64;
const READ_BUFFER_BYTES: usize = 4 << 10;
/// After a connection that lasted longer than this, reconnection starts with the nearest node again.
const STABLE_CONNECTION_AGE: Duration = Duration::from_secs(4);

/// Spawns the thread that keeps one connection open while the process runs. Messages take their memory from `memory`.
/// The coordinator closes connections that are unresponsive or stale.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub fn start(
    endpoints: &ControlEndpoints,
    settings: &Settings,
    events: &Arc<MailboxSender<Event>>,
    memory: MemoryBudget,
) -> io::Result<()> {
    let (endpoints, settings, events) = (endpoints.clone(), settings.clone(), events.clone());
    spawn("control", STACK_BYTES, move || {
        run(&endpoints, &settings, &events, &memory)
    })?;
    Ok(())
}

fn run(
    endpoints: &ControlEndpoints,
    settings: &Settings,
    events: &MailboxSender<Event>,
    budget: &MemoryBudget,
) {
    let (mut attempt, mut last_id) = (0, 0);
    loop {
        if let Some(ip) = endpoints.address_for_attempt(attempt) {
            attempt += 1;
            if let Ok((link, stream)) = connect(settings, ip) {
                last_id += 1;
                let connected_at = Instant::now();
                events.send(
                    Event::ControlConnected {
                        id: last_id,
                        ip,
                        link,
                    },
                    None,
                );
                receive(last_id, &stream, events, budget);
                let is_stable = connected_at.elapsed() > STABLE_CONNECTION_AGE;
                if is_stable || last_id == 1 {
                    attempt = 0;
                }
            }
        }
        sleep(RECONNECT_DELAY);
    }
}

fn connect(settings: &Settings, ip: Ipv4Addr) -> io::Result<(FrameSender, Arc<TcpStream>)> {
    let stream = FrameSender::connect(settings.control_addr(ip), CONNECT_TIMEOUT)?;
    let link = FrameSender::from_stream(stream.clone(), ACK_TIMEOUT, SEND_QUEUE_CAPACITY)?;
    Ok((link, stream))
}

/// Forwards messages to the coordinator until the connection ends.
fn receive(id: u64, stream: &TcpStream, events: &MailboxSender<Event>, budget: &MemoryBudget) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    while let Ok(frame) = frames::read_frame_within::<FromControl>(&mut reader, budget) {
        let Frame { message, memory } = frame;
        let event = Event::ControlMessage {
            id,
            message,
            memory,
        };
        events.send(event, None);
    }
    events.send(Event::ControlDisconnected { id }, None);
}
