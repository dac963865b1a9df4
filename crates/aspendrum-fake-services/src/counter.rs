//! A fake of the shared counter: adds to named totals for so many calls a second, and can fail.

use crate::resp::{parse_call, Call, MAX_CALL_BYTES};
use crate::{lock, Clock, MILLIS_PER_SECOND};
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// What a counter is like.
#[derive(Clone, Debug)]
pub struct CounterOptions {
    /// How many calls it answers in a second, one after another.
    pub calls_per_second: f64,
    /// A call that would wait longer for its turn is rejected.
    pub max_wait: Duration,
}

/// The ways of failing that can hold at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterFaults {
    /// It adds nothing and answers nothing; calls wait.
    pub is_silent: bool,
    /// How many milliseconds longer each call takes.
    pub extra_ms: f64,
    /// It rejects every call.
    pub is_busy: bool,
}

/// What reached a counter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterStats {
    /// Calls that were carried out.
    pub calls: u64,
    /// Calls that were rejected.
    pub rejected: u64,
    /// What was no call.
    pub invalid: u64,
    /// Units added, less those that negative amounts took back.
    pub units_added: f64,
}

/// A total, and until when it is kept.
struct Total {
    units: f64,
    expires_at: f64,
}

struct State {
    totals: HashMap<Vec<u8>, Total>,
    /// When the last call that was accepted has had its turn.
    next_turn: Instant,
    stats: CounterStats,
}

/// The fake counter.
pub struct Counter {
    address: SocketAddr,
    options: CounterOptions,
    clock: Clock,
    state: Mutex<State>,
    faults: watch::Sender<CounterFaults>,
    /// Counts its replacements: each ends all connections.
    replacements: watch::Sender<u64>,
}

/// No total is kept longer, in milliseconds.
const MAX_LIFETIME_MS: f64 = 60_000.0;
const MAX_AMOUNT: f64 = 1e9;
const MAX_NAME_BYTES: usize = 64;
/// The parts of a call that adds: its name, the total's name, the amount and the lifetime.
const ADD_PARTS: usize = 4;

/// A call that adds to a total.
struct AddCall<'c> {
    name: &'c [u8],
    amount: f64,
    lifetime_ms: f64,
}

/// Why a call is refused; the caller reads the text.
#[derive(Clone, Copy)]
enum InvalidCall {
    UnknownName,
    NotANumber,
    OutOfRange,
}

impl fmt::Display for InvalidCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            InvalidCall::UnknownName => "no such call",
            InvalidCall::NotANumber => "not a number",
            InvalidCall::OutOfRange => "out of range",
        })
    }
}

impl AddCall<'_> {
    fn parse(call: &Call) -> Result<AddCall<'_>, InvalidCall> {
        let (amount, lifetime_ms) = (call.text(2).parse::<f64>(), call.text(3).parse::<f64>());
        let (Ok(amount), Ok(lifetime_ms)) = (amount, lifetime_ms) else {
            return Err(InvalidCall::NotANumber);
        };
        let name = &call.parts[1];
        let is_named = (1..=MAX_NAME_BYTES).contains(&name.len());
        let is_valid_amount = amount.is_finite() && amount.abs() <= MAX_AMOUNT;
        if !is_named || !is_valid_amount || lifetime_ms.is_nan() || lifetime_ms < 1.0 {
            return Err(InvalidCall::OutOfRange);
        }
        Ok(AddCall {
            name,
            amount,
            lifetime_ms: lifetime_ms.min(MAX_LIFETIME_MS),
        })
    }
}

impl Counter {
    /// Starts it at a free port of that address.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(
        ip: IpAddr,
        options: CounterOptions,
        clock: Clock,
    ) -> io::Result<Arc<Counter>> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let state = State {
            totals: HashMap::new(),
            next_turn: Instant::now(),
            stats: CounterStats::default(),
        };
        let counter = Arc::new(Counter {
            address: listener.local_addr()?,
            options,
            clock,
            state: Mutex::new(state),
            faults: watch::Sender::default(),
            replacements: watch::Sender::default(),
        });
        let served = counter.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve_until_replaced(stream));
            }
        });
        Ok(counter)
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// What has reached it so far.
    pub fn stats(&self) -> CounterStats {
        lock(&self.state).stats
    }

    /// Changes how it fails.
    pub fn change_faults(&self, change: impl FnOnce(&mut CounterFaults)) {
        self.faults.send_modify(change);
    }

    /// Loses every total; connections stay.
    pub fn clear(&self) {
        lock(&self.state).totals.clear();
    }

    /// An empty one takes its place: connections are reset.
    pub fn replace(&self) {
        self.clear();
        self.replacements
            .send_modify(|replacements| *replacements += 1);
    }

    async fn serve_until_replaced(self: Arc<Counter>, stream: TcpStream) {
        let mut replacements = self.replacements.subscribe();
        let _ = stream.set_nodelay(true);
        let _ = stream.set_zero_linger();
        tokio::select! {
            _ = replacements.changed() => {}
            _ = self.serve(stream) => {}
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut unread = Vec::new();
        loop {
            while let Some(call) = parse_call(&unread)? {
                unread.drain(..call.size);
                let reply = self.reply(&call).await;
                stream.write_all(&reply).await?;
            }
            if unread.len() > MAX_CALL_BYTES {
                lock(&self.state).stats.invalid += 1;
                return Err(io::ErrorKind::InvalidData.into());
            }
            if stream.read_buf(&mut unread).await? == 0 {
                return Ok(());
            }
        }
    }

    async fn reply(&self, call: &Call) -> Vec<u8> {
        match call.text(0).to_ascii_uppercase().as_str() {
            "PING" => return b"+PONG\r\n".to_vec(),
            "CLIENT" | "SELECT" => return b"+OK\r\n".to_vec(),
            "CNT.ADD" if call.parts.len() == ADD_PARTS => {}
            _ => return self.refuse(InvalidCall::UnknownName),
        }
        match AddCall::parse(call) {
            Ok(call) => self.add(&call).await,
            Err(why) => self.refuse(why),
        }
    }

    async fn add(&self, call: &AddCall<'_>) -> Vec<u8> {
        let mut faults = self.faults.subscribe();
        // A call waits for its turn however long the counter is silent.
        if faults.wait_for(|faults| !faults.is_silent).await.is_err() {
            return Vec::new();
        }
        let faults = *self.faults.borrow();
        let Some(turn) = self.take_turn(&faults) else {
            return b"-BUSY\r\n".to_vec();
        };
        sleep_until(turn + Duration::from_secs_f64(faults.extra_ms / MILLIS_PER_SECOND)).await;
        let total = self.add_units(call).to_string();
        format!("${}\r\n{total}\r\n", total.len()).into_bytes()
    }

    /// When the call has its turn; `None`: it is rejected.
    fn take_turn(&self, faults: &CounterFaults) -> Option<Instant> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let turn = state.next_turn.max(now);
        if faults.is_busy || turn - now > self.options.max_wait {
            state.stats.rejected += 1;
            return None;
        }
        state.next_turn = turn + Duration::from_secs_f64(1.0 / self.options.calls_per_second);
        Some(state.next_turn)
    }

    /// The total behind the call.
    fn add_units(&self, call: &AddCall<'_>) -> f64 {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.stats.calls += 1;
        state.stats.units_added += call.amount;
        let fresh = || Total {
            units: 0.0,
            expires_at: now + call.lifetime_ms,
        };
        let total = state.totals.entry(call.name.to_vec()).or_insert_with(fresh);
        if total.expires_at < now {
            *total = fresh();
        }
        total.units += call.amount;
        total.units
    }

    fn refuse(&self, why: InvalidCall) -> Vec<u8> {
        lock(&self.state).stats.invalid += 1;
        format!("-ERR {why}\r\n").into_bytes()
    }
}
