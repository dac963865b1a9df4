//! The connection to control: to a node nearby, and to the next one when that falls silent.

use crate::control_endpoints::ControlEndpoints;
use crate::event::Event;
use aspendrum_model::message::FromControl;
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::spawn;
use std::io::{self, BufReader};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 96 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
const RECONNECT_EVERY: Duration = Duration::from_millis(60);
/// TCP user time-out: control counts as unreachable if it acknowledges no bytes within this time.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Messages that may wait to be written.
const QUEUE_LENGTH: usize = 64;
const READ_BUFFER_BYTES: usize = 4 << 10;
/// If a connection lasted at least this long, the nearest node is tried first again after it.
const LASTING: Duration = Duration::from_secs(4);

/// Keeps one connection for as long as the process runs; the coordinator ends one that is of no use.
pub fn start(
    endpoints: &ControlEndpoints,
    settings: &Settings,
    events: &Arc<MailboxSender<Event>>,
) -> io::Result<()> {
    let (endpoints, settings, events) = (endpoints.clone(), settings.clone(), events.clone());
    spawn("control", STACK_BYTES, move || {
        run(&endpoints, &settings, &events)
    })?;
    Ok(())
}

fn run(endpoints: &ControlEndpoints, settings: &Settings, events: &MailboxSender<Event>) {
    let (mut attempt, mut last_id) = (0, 0);
    loop {
        if let Some(ip) = endpoints.nth(attempt) {
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
                receive(last_id, &stream, events);
                let is_lasting = connected_at.elapsed() > LASTING;
                if is_lasting || last_id == 1 {
                    attempt = 0;
                }
            }
        }
        sleep(RECONNECT_EVERY);
    }
}

fn connect(settings: &Settings, ip: Ipv4Addr) -> io::Result<(Link, Arc<TcpStream>)> {
    let stream = Link::connect(settings.control_addr(ip), CONNECT_TIMEOUT)?;
    let link = Link::from_stream(stream.clone(), ACKNOWLEDGE_TIMEOUT, QUEUE_LENGTH)?;
    Ok((link, stream))
}

/// Passes messages on until the connection ends.
fn receive(id: u64, stream: &TcpStream, events: &MailboxSender<Event>) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    while let Ok(message) = frames::read_frame::<FromControl>(&mut reader) {
        events.send(Event::ControlMessage { id, message }, None);
    }
    events.send(Event::ControlDisconnected { id }, None);
}
