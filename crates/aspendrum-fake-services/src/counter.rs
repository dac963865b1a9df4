//! A fake of the shared counter. It adds to named totals at a limited rate of calls, and has faults.

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

/// The configuration of a counter.
#[derive(Clone, Debug)]
pub struct CounterOptions {
    /// The number of calls per second that the counter handles, one after another.
    pub calls_per_second: f64,
    /// A call that would wait longer than this for its turn is rejected.
    pub max_wait: Duration,
}

/// The faults of a counter, which can be combined.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterFaults {
    /// Neither adds nor responds; calls wait.
    pub is_silent: bool,
    /// The additional time of each call, in milliseconds.
    pub extra_ms: f64,
    /// Rejects every call.
    pub is_busy: bool,
}

/// The calls that reached a counter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterStats {
    /// The number of completed calls.
    pub calls: u64,
    /// The number of rejected calls.
    pub rejected: u64,
    /// The number of invalid calls.
    pub invalid: u64,
    /// The sum of all amounts; negative amounts reduce it.
    pub units_added: f64,
}

/// A total with its expiry time.
struct Total {
    units: f64,
    expires_at: f64,
}

struct State {
    totals: HashMap<Vec<u8>, Total>,
    /// The end of the last accepted call's turn.
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
    /// The number of replacements. Each one ends all connections.
    replacements: watch::Sender<u64>,
}

/// The longest lifetime of a total, in milliseconds.
const MAX_LIFETIME_MS: f64 = 60_000.0;
const MAX_AMOUNT: f64 = 1e9;
const MAX_NAME_BYTES: usize = 64;
/// The number of parts of a call that adds: the name of the call, the name of the total, the amount and the lifetime.
const ADD_PARTS: usize = 4;

/// A call that adds to a total.
struct AddCall<'c> {
    name: &'c [u8],
    amount: f64,
    lifetime_ms: f64,
}

/// The reason reason a call is invalid. The caller receives the text.
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
    /// Starts a counter at a free port of `ip`.
    ///
    /// # Errors
    /// Fails if no port is free.
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

    /// Returns the address at which the counter listens.
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of calls so far.
    pub fn stats(&self) -> CounterStats {
        lock(&self.state).stats
    }

    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut CounterFaults)) {
        self.faults.send_modify(change);
    }

    /// Removes all totals; connections stay open.
    pub fn clear(&self) {
        lock(&self.state).totals.clear();
    }

    /// Replaces the counter by an empty one: all connections are reset.
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
            _ => return self.reject_invalid(InvalidCall::UnknownName),
        }
        match AddCall::parse(call) {
            Ok(call) => self.add(&call).await,
            Err(reason) => self.reject_invalid(reason),
        }
    }

    async fn add(&self, call: &AddCall<'_>) -> Vec<u8> {
        let mut faults = self.faults.subscribe();
        // Calls wait for the end of the silence, however long it lasts.
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

    /// Returns the end of the call's turn, or `None` if the call is rejected.
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

    /// Adds the amount to the total and returns the new total.
    fn add_units(&self, call: &AddCall<'_>) -> f64 {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.stats.calls += 1;
        state.stats.units_added += call.amount;
        let new_total = || Total {
            units: 0.0,
            expires_at: now + call.lifetime_ms,
        };
        let total = state
            .totals
            .entry(call.name.to_vec())
            .or_insert_with(new_total);
        if total.expires_at < now {
            *total = new_total();
        }
        total.units += call.amount;
        total.units
    }

    fn reject_invalid(&self, reason: InvalidCall) -> Vec<u8> {
        lock(&self.state).stats.invalid += 1;
        format!("-ERR {reason}\r\n").into_bytes()
    }
}
