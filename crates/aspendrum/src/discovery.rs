//! What discovery knows of the servers: the list held at the start, then the whole list, then one watch
//! after another. Silence and nonsense leave the last list in force.

use crate::backoff::Backoff;
use crate::http;
use crate::notes::{Note, Wish};
use crate::roster::{Names, Roster};
use crate::Shop;
use aspendrum_core::api::{Health, ListKind, Outcome};
use aspendrum_net::connection::Connection;
use aspendrum_net::threads::lock;
use crossbeam_channel::Receiver;
use std::collections::HashSet;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PATH: &str = "/registry/instances";

/// Where discovery is reached, and the connection to it.
pub struct Agent(Mutex<Place>);

struct Place {
    addr: SocketAddr,
    stream: Option<Arc<TcpStream>>,
    moved: bool,
}

impl Agent {
    pub fn at(addr: SocketAddr) -> Agent {
        Agent(Mutex::new(Place {
            addr,
            stream: None,
            moved: false,
        }))
    }

    /// Ends the connection to the old place at once: a watch there may say nothing for seconds, and whatever
    /// it would still tell is in the whole list that is fetched from the new one. False: it is there already.
    pub fn move_to(&self, addr: SocketAddr) -> bool {
        let mut place = lock(&self.0);
        if place.addr == addr {
            return false;
        }
        if let Some(stream) = place.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        (place.addr, place.moved) = (addr, true);
        true
    }

    fn addr(&self) -> SocketAddr {
        lock(&self.0).addr
    }

    /// Tells once that it has moved.
    fn moved(&self) -> bool {
        std::mem::take(&mut lock(&self.0).moved)
    }

    /// False: it has moved meanwhile, and this connection is of no use.
    fn reached(&self, conn: &Connection) -> bool {
        let mut place = lock(&self.0);
        place.stream = (place.addr == conn.address).then(|| conn.stream.clone());
        place.stream.is_some()
    }
}

/// Keeps the desk and the pool told until the limiter stops.
pub struct Follower {
    pub shop: Arc<Shop>,
    pub agent: Arc<Agent>,
    pub names: Names,
    pub wishes: Receiver<Wish>,
    /// Discovery tells only those who ask.
    pub asks: bool,
    /// Begins with the whole list. Where discovery must be asked, a limiter that holds one begins with a
    /// watch from there: one call of the fleet's few, not two.
    pub fetch: bool,
    pub version: u64,
    pub backoff: Backoff,
}

impl Follower {
    pub fn run(mut self) {
        let (mut conn, mut watching, mut fetch) = (None, !self.asks, self.fetch);
        let mut trouble = String::new();
        if self.asks {
            // A whole fleet that starts at once asks in turn.
            self.pause(&mut watching, &mut fetch);
        }
        while !self.shop.stopped() {
            let idle = !fetch && !watching;
            let first = if idle { self.wishes.recv().ok() } else { None };
            if idle && first.is_none() {
                return;
            }
            for wish in first.into_iter().chain(self.wishes.try_iter()) {
                match wish {
                    Wish::Fetch => fetch = true,
                    Wish::Watch(on) => watching = on,
                }
            }
            if self.agent.moved() {
                (conn, fetch) = (None, true);
            }
            if !fetch && !watching {
                continue;
            }
            match self.ask(&mut conn, !fetch) {
                Ok(roster) => {
                    trouble.clear();
                    self.backoff.reset();
                    fetch = !roster.whole && roster.version < self.version;
                    if !fetch {
                        self.pass_on(roster);
                    }
                }
                // What was cut off by the move is no failure of discovery's.
                Err(_) if self.agent.moved() => (conn, fetch) = (None, true),
                Err(why) => {
                    conn = None;
                    if why != trouble {
                        tracing::warn!(%why, "discovery failed; the last list stays");
                        trouble = why;
                    }
                    if self.asks {
                        watching = false;
                        let (list, entries) = (ListKind::Failed, Vec::new());
                        self.shop.door.tell(Note::Members {
                            list,
                            version: 0,
                            entries,
                        });
                    }
                    self.pause(&mut watching, &mut fetch);
                }
            }
        }
    }

    /// Waits before the next call, but not beyond a move to another agent; notes what is wished meanwhile.
    fn pause(&mut self, watching: &mut bool, fetch: &mut bool) {
        let until = Instant::now() + self.backoff.wait();
        while let Ok(wish) = self.wishes.recv_deadline(until) {
            match wish {
                Wish::Fetch => {
                    *fetch = true;
                    return;
                }
                Wish::Watch(on) => *watching = on,
            }
        }
    }

    fn ask(&self, held: &mut Option<Connection>, watch: bool) -> Result<Roster, String> {
        let limits = &self.shop.limits;
        let mut conn = match held.take() {
            Some(conn) => conn,
            None => Connection::open_unpooled(
                self.agent.addr(),
                limits.connect_wait,
                self.shop.pool.connection_options(),
            )
            .map_err(|e| e.to_string())?,
        };
        if !self.agent.reached(&conn) {
            return Err("its address has changed".into());
        }
        let (hold, path) = if watch {
            let hold = limits.watch_hold;
            (
                hold,
                format!("{PATH}?from={}&hold_ms={}", self.version, hold.as_millis()),
            )
        } else {
            (Duration::ZERO, PATH.to_string())
        };
        http::get(&mut conn.outgoing, &path);
        let failed = |how: Outcome| format!("{how:?}");
        conn.send().map_err(failed)?;
        let until = Instant::now() + hold + limits.watch_late;
        let answer = http::receive(&mut conn, until, &self.shop).map_err(failed)?;
        if answer.status != 200 {
            return Err(format!("status {}", answer.status));
        }
        let list = serde_json::from_slice(&answer.body).map_err(|e| e.to_string())?;
        let roster = Roster::read(&list, &self.names)?;
        if !answer.close {
            *held = Some(conn);
        }
        Ok(roster)
    }

    fn pass_on(&mut self, roster: Roster) {
        self.version = roster.version;
        let list = if roster.whole {
            ListKind::Full
        } else {
            ListKind::Delta
        };
        if roster.whole || !roster.entries.is_empty() {
            tell(&self.shop, list, roster);
        }
    }
}

/// A list goes to the pool, then to the desk: the module must not name a server whose address is not known.
pub fn tell(shop: &Shop, list: ListKind, roster: Roster) {
    let mut named = HashSet::new();
    for (member, dial) in &roster.entries {
        if let Some(dial) = dial.filter(|_| member.health != Health::Removed) {
            named.insert(member.server);
            shop.pool.set_address(member.server, dial);
        } else {
            shop.pool.forget(member.server);
        }
    }
    if roster.whole {
        shop.pool.retain(&named);
    }
    let entries = roster.entries.into_iter().map(|e| e.0).collect();
    shop.door.tell(Note::Members {
        list,
        version: roster.version as u32,
        entries,
    });
}
