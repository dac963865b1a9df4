//! The shared counter: the RESP subset that limiters speak, so many calls a second, and its troubles.

use crate::{lock, Clock};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

#[derive(Clone, Debug)]
pub struct CounterOptions {
    pub calls_per_second: f64,
    /// A call that would wait longer for its turn is turned away.
    pub max_wait: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterFaults {
    /// Adds nothing and answers nothing; calls wait.
    pub is_silent: bool,
    /// Milliseconds more for each call.
    pub extra_ms: f64,
    /// Every call is turned away.
    pub is_busy: bool,
}

/// What reached it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterStats {
    pub calls: u64,
    pub rejected: u64,
    pub invalid: u64,
    /// Units added, and taken back by negative amounts.
    pub units_added: f64,
}

pub struct Counter {
    addr: SocketAddr,
    figures: CounterOptions,
    clock: Clock,
    state: Mutex<State>,
    ails: watch::Sender<CounterFaults>,
    /// Counts its replacements: a change ends all connections.
    replaced: watch::Sender<u64>,
}

struct State {
    /// Totals by name, and until when they live, milliseconds of the run.
    totals: HashMap<Vec<u8>, (f64, f64)>,
    free: Instant,
    seen: CounterStats,
}

/// No name lives longer.
const LONGEST_LIFE: f64 = 60_000.0;
const LARGEST: f64 = 1e9;
const LONGEST_NAME: usize = 64;
/// A call is four short parts; what is longer is no call.
const LONGEST_CALL: usize = 1024;

impl Counter {
    pub async fn start(at: IpAddr, figures: CounterOptions, clock: Clock) -> io::Result<Arc<Counter>> {
        let listener = TcpListener::bind((at, 0)).await?;
        let state = State {
            totals: HashMap::new(),
            free: Instant::now(),
            seen: CounterStats::default(),
        };
        let counter = Arc::new(Counter {
            addr: listener.local_addr()?,
            figures,
            clock,
            state: Mutex::new(state),
            ails: watch::Sender::default(),
            replaced: watch::Sender::default(),
        });
        let own = counter.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let own = own.clone();
                tokio::spawn(async move {
                    let mut replaced = own.replaced.subscribe();
                    let _ = stream.set_zero_linger();
                    tokio::select! {
                        _ = replaced.changed() => {}
                        _ = own.serve(stream) => {}
                    }
                });
            }
        });
        Ok(counter)
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn stats(&self) -> CounterStats {
        lock(&self.state).seen
    }

    pub fn change_faults(&self, how: impl FnOnce(&mut CounterFaults)) {
        self.ails.send_modify(how);
    }

    /// Loses every count; connections stay.
    pub fn clear(&self) {
        lock(&self.state).totals.clear();
    }

    /// An empty one takes its place: connections are reset.
    pub fn replace(&self) {
        self.clear();
        self.replaced.send_modify(|n| *n += 1);
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut rest = Vec::new();
        loop {
            while let Some((call, size)) = call(&rest)? {
                rest.drain(..size);
                let reply = self.reply(&call).await;
                stream.write_all(&reply).await?;
            }
            if rest.len() > LONGEST_CALL {
                lock(&self.state).seen.invalid += 1;
                return Err(io::ErrorKind::InvalidData.into());
            }
            if stream.read_buf(&mut rest).await? == 0 {
                return Ok(());
            }
        }
    }

    async fn reply(&self, call: &[Vec<u8>]) -> Vec<u8> {
        let word = |n: usize| {
            call.get(n)
                .map_or("", |w| std::str::from_utf8(w).unwrap_or(""))
        };
        match word(0).to_ascii_uppercase().as_str() {
            "PING" => return b"+PONG\r\n".to_vec(),
            "CLIENT" | "SELECT" => return b"+OK\r\n".to_vec(),
            "CNT.ADD" if call.len() == 4 => {}
            _ => return self.refuse("no such call"),
        }
        let (amount, life) = (word(2).parse::<f64>(), word(3).parse::<f64>());
        let (Ok(amount), Ok(life)) = (amount, life) else {
            return self.refuse("not a number");
        };
        let named = (1..=LONGEST_NAME).contains(&call[1].len());
        if !named || !amount.is_finite() || amount.abs() > LARGEST || life.is_nan() || life < 1.0 {
            return self.refuse("out of range");
        }
        // However late, a call has its turn.
        let mut ails = self.ails.subscribe();
        if ails.wait_for(|a| !a.is_silent).await.is_err() {
            return Vec::new();
        }
        let (now, ails) = (Instant::now(), *self.ails.borrow());
        let turn = {
            let mut state = lock(&self.state);
            let turn = state.free.max(now);
            if ails.is_busy || turn - now > self.figures.max_wait {
                state.seen.rejected += 1;
                return b"-BUSY\r\n".to_vec();
            }
            state.free = turn + Duration::from_secs_f64(1.0 / self.figures.calls_per_second);
            state.free
        };
        sleep_until(turn + Duration::from_secs_f64(ails.extra_ms / 1000.0)).await;
        let at = self.clock.now();
        let mut state = lock(&self.state);
        (state.seen.calls, state.seen.units_added) = (state.seen.calls + 1, state.seen.units_added + amount);
        let entry = state
            .totals
            .entry(call[1].clone())
            .or_insert((0.0, at + life.min(LONGEST_LIFE)));
        if entry.1 < at {
            *entry = (0.0, at + life.min(LONGEST_LIFE));
        }
        entry.0 += amount;
        let total = entry.0.to_string();
        format!("${}\r\n{total}\r\n", total.len()).into_bytes()
    }

    fn refuse(&self, why: &str) -> Vec<u8> {
        lock(&self.state).seen.invalid += 1;
        format!("-ERR {why}\r\n").into_bytes()
    }
}

/// The first call in these bytes, and its length; `None`: not whole yet.
fn call(bytes: &[u8]) -> io::Result<Option<(Vec<Vec<u8>>, usize)>> {
    let bad = || io::Error::from(io::ErrorKind::InvalidData);
    let mut at = 0;
    let line = |at: &mut usize, mark: u8| -> io::Result<Option<usize>> {
        let Some(size) = bytes[*at..].windows(2).position(|w| w == b"\r\n") else {
            return Ok(None);
        };
        let text = &bytes[*at..*at + size];
        *at += size + 2;
        let number = text
            .strip_prefix(&[mark])
            .and_then(|t| std::str::from_utf8(t).ok()?.parse().ok());
        number.map(Some).ok_or_else(bad)
    };
    let Some(parts) = line(&mut at, b'*')? else {
        return Ok(None);
    };
    if parts == 0 || parts > 8 {
        return Err(bad());
    }
    let mut call = Vec::with_capacity(parts);
    for _ in 0..parts {
        let Some(size) = line(&mut at, b'$')? else {
            return Ok(None);
        };
        if size > LONGEST_CALL {
            return Err(bad());
        }
        if bytes.len() < at + size + 2 {
            return Ok(None);
        }
        if &bytes[at + size..at + size + 2] != b"\r\n" {
            return Err(bad());
        }
        call.push(bytes[at..at + size].to_vec());
        at += size + 2;
    }
    Ok(Some((call, at)))
}
