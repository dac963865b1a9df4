//! Hollow agents: they greet control, beat and take news with the real words on real links, and apply them at
//! once. Nothing stands behind them: no proxy, no neighbours. They leave a machine of control as agents do.

use crate::sizes::{front_at, zone};
use aspendrum_model::message::{
    Envelope, FromControl, Readiness, StateDigest, StateSection, ToControl, SECTION_KINDS,
};
use aspendrum_net::frames;
use aspendrum_net::threads::{lock, spawn};
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const STACK: usize = 256 << 10;
/// As agents dial and beat.
const DIAL_WAIT: Duration = Duration::from_millis(350);
const PAUSE: Duration = Duration::from_millis(60);
const BEAT: Duration = Duration::from_millis(300);
const FIRST: Duration = Duration::from_millis(60);
/// As agents leave a machine that says nothing, or nothing of a majority.
const SILENT: Duration = Duration::from_millis(1100);
const STALE: Duration = Duration::from_millis(1300);
const MISSED_AGAIN: Duration = Duration::from_secs(1);
/// Between two looks at which agents are due.
const TICK: Duration = Duration::from_millis(5);
/// Frames that are no news stand behind the kinds of parts.
pub const BEATS: usize = SECTION_KINDS;

/// What one holds, and when its newest of each came.
#[derive(Clone, Copy, Default)]
pub struct Held {
    pub config: u32,
    pub ready: usize,
    pub draining: usize,
    pub at: [Option<Instant>; 3],
}

#[derive(Default)]
struct State {
    stream: Option<Arc<TcpStream>>,
    since: Option<Instant>,
    answered: Option<Instant>,
    as_of: Option<Instant>,
    missed: Option<Instant>,
    beaten: Option<Instant>,
    applied: StateDigest,
    held: Held,
}

pub struct Agent {
    n: usize,
    begun: Instant,
    state: Mutex<State>,
    /// Runs; one that does not has no link.
    up: AtomicBool,
}

/// What all of them count together.
#[derive(Default)]
pub struct Counts {
    /// Bytes down by kind of part, then beats; bytes up; links begun; links left for silence, for a stale
    /// word.
    pub down: [AtomicU64; SECTION_KINDS + 1],
    pub frames: [AtomicU64; SECTION_KINDS + 1],
    pub up: AtomicU64,
    pub links: AtomicU64,
    pub silent: AtomicU32,
    pub stale: AtomicU32,
    pub missed: AtomicU32,
}

/// Counts what is read.
struct Counting<'s> {
    from: BufReader<&'s TcpStream>,
    read: u64,
}

impl Read for Counting<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let n = self.from.read(into)?;
        self.read += n as u64;
        Ok(n)
    }
}

impl Agent {
    pub fn held(&self) -> Held {
        lock(&self.state).held
    }

    pub fn linked(&self) -> bool {
        let state = lock(&self.state);
        state.stream.is_some() && state.as_of.is_some_and(|at| at.elapsed() < STALE)
    }

    /// Ends, or begins again with nothing.
    pub fn run(&self, up: bool) {
        self.up.store(up, Relaxed);
        if !up {
            let mut state = lock(&self.state);
            state.stream.take().map(|s| s.shutdown(Shutdown::Both));
            *state = State::default();
        }
    }

    fn say(&self, counts: &Counts, up: ToControl) {
        let stream = lock(&self.state).stream.clone();
        let bytes = frames::encode_frame(&Envelope::<()>::Agent(up));
        if let Some(stream) = stream {
            if (&*stream).write_all(&bytes).is_ok() {
                counts.up.fetch_add(bytes.len() as u64, Relaxed);
            }
        }
    }

    /// Holds a link, to the next machine of control whenever one ends.
    fn hold(&self, control: &[SocketAddr], counts: &Counts) {
        let mut next = self.n;
        loop {
            if self.up.load(Relaxed) {
                self.link(control[next % control.len()], counts);
                next += 1;
            }
            sleep(PAUSE);
        }
    }

    fn link(&self, to: SocketAddr, counts: &Counts) {
        let Ok(stream) = TcpStream::connect_timeout(&to, DIAL_WAIT) else {
            return;
        };
        let _ = (
            stream.set_nodelay(true),
            stream.set_write_timeout(Some(SILENT)),
        );
        let stream = Arc::new(stream);
        counts.links.fetch_add(1, Relaxed);
        {
            let (mut state, now) = (lock(&self.state), Some(Instant::now()));
            state.stream = Some(stream.clone());
            (state.since, state.answered, state.as_of, state.beaten) = (now, now, None, None);
        }
        let (host, front, zone) = (format!("edge-{}", self.n), front_at(self.n), zone(self.n));
        self.say(
            counts,
            ToControl::Hello {
                host,
                proxy_addr: front,
                zone,
            },
        );
        let mut from = Counting {
            from: BufReader::with_capacity(4 << 10, &*stream),
            read: 0,
        };
        loop {
            let before = from.read;
            let Ok(down) = frames::read_frame::<FromControl>(&mut from) else {
                break;
            };
            self.hear(counts, down, from.read - before);
        }
        let _ = stream.shutdown(Shutdown::Both);
        lock(&self.state).stream = None;
    }

    fn hear(&self, counts: &Counts, down: FromControl, bytes: u64) {
        let now = Instant::now();
        let kind = match &down {
            FromControl::Update { section: part, .. } => part.kind(),
            FromControl::Heartbeat { .. } | FromControl::Resync => BEATS,
        };
        counts.down[kind].fetch_add(bytes, Relaxed);
        counts.frames[kind].fetch_add(1, Relaxed);
        let mut state = lock(&self.state);
        state.answered = Some(now);
        match down {
            FromControl::Update {
                number,
                section: part,
            } => {
                match part {
                    StateSection::Config { version, .. } if version > state.held.config => {
                        (state.held.config, state.held.at[0]) = (version, Some(now));
                    }
                    StateSection::Servers { list, .. } => {
                        let draining = list.iter().filter(|s| s.draining).count();
                        (state.held.draining, state.held.at[1]) = (draining, Some(now));
                    }
                    StateSection::Proxies(fronts) => {
                        let ready = fronts.iter().filter(|f| f.is_ready()).count();
                        (state.held.ready, state.held.at[2]) = (ready, Some(now));
                    }
                    _ => {}
                }
                drop(state);
                self.say(counts, ToControl::Applied { number });
            }
            FromControl::Heartbeat {
                sent_at_ms: stamp,
                majority_age: age,
                decided: of,
                ..
            } => {
                let asked = self.begun + Duration::from_millis(stamp);
                let Some(age) = age else { return };
                if of.revision.config <= state.held.config {
                    // What a proxy behind it would have in force, without a proxy.
                    state.applied = of;
                    state.as_of = state
                        .as_of
                        .max(asked.checked_sub(Duration::from_millis(age.into())));
                    return;
                }
                if state.missed.is_none_or(|at| at.elapsed() >= MISSED_AGAIN) {
                    state.missed = Some(now);
                    counts.missed.fetch_add(1, Relaxed);
                    state.stream.as_ref().map(|s| s.shutdown(Shutdown::Both));
                }
            }
            FromControl::Resync => {}
        }
    }

    /// A sign of life when it is due, or the end of a link that is of no use.
    fn beat(&self, counts: &Counts) {
        let now = Instant::now();
        let (sent_at_ms, applied) = {
            let mut state = lock(&self.state);
            let Some(stream) = &state.stream else { return };
            let over = |at: Option<Instant>, most: Duration| at.is_none_or(|at| now - at > most);
            let silent = over(state.answered, SILENT);
            if silent || over(state.since, STALE) && over(state.as_of, STALE) {
                let _ = stream.shutdown(Shutdown::Both);
                let count = if silent {
                    &counts.silent
                } else {
                    &counts.stale
                };
                count.fetch_add(1, Relaxed);
                state.stream = None;
                return;
            }
            let every = if state.as_of.is_some() { BEAT } else { FIRST };
            if !over(state.beaten, every) {
                return;
            }
            state.beaten = Some(now);
            ((now - self.begun).as_millis() as u64, state.applied)
        };
        self.say(
            counts,
            ToControl::Heartbeat {
                sent_at_ms,
                readiness: Readiness::Ready,
                applied,
            },
        );
    }
}

/// That many, none of them running yet.
pub fn start(
    many: usize,
    control: &[SocketAddr],
    counts: &Arc<Counts>,
) -> io::Result<Vec<Arc<Agent>>> {
    let begun = Instant::now();
    let mut all = Vec::new();
    for n in 0..many {
        let (state, up) = (Mutex::default(), AtomicBool::new(false));
        let agent = Arc::new(Agent {
            n,
            begun,
            state,
            up,
        });
        let (own, control, counts) = (agent.clone(), control.to_vec(), counts.clone());
        spawn("agent", STACK, move || own.hold(&control, &counts))?;
        all.push(agent);
    }
    let (own, counts) = (all.clone(), counts.clone());
    spawn("beats", STACK, move || loop {
        own.iter().for_each(|agent| agent.beat(&counts));
        sleep(TICK);
    })?;
    Ok(all)
}
