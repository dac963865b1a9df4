//! The desk: one thread that owns the module, the clock, the timers and the ids. Everybody tells it what
//! happened through one bounded channel; it hands each of the module's actions to its owner and never waits
//! for anybody.

use crate::counter::Counter;
use crate::notes::{Note, Order, Wish};
use crate::peers::Peers;
use crate::query;
use crate::Shop;
use aspendrum_core::api::*;
use aspendrum_core::engine::DecisionEngine;
use aspendrum_net::disconnect_metrics::{DisconnectReporter, REACTION_DEADLINE};
use aspendrum_net::disconnects::ClientConnection;
use aspendrum_net::forward::{ForwardHandle, ForwardStage, Progress};
use aspendrum_net::mailbox::{MailboxReceiver, MailboxSender, RecvError};
use crossbeam_channel::Sender;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Instant;

/// What the module itself has to say is logged under this name.
const MODULE: &str = "aspendrum::module";

/// A query in hand, as the desk sees it.
struct Seat {
    orders: MailboxSender<Order>,
    line: Arc<ForwardHandle>,
    forwards: u8,
    /// The forward that is out.
    out: Option<(u8, ServerId)>,
    /// Its final answer is given, or its client gone.
    over: bool,
}

pub struct Desk {
    pub control: DecisionEngine,
    pub shop: Arc<Shop>,
    pub counter: Option<Counter>,
    pub wishes: Sender<Wish>,
    pub peers: Option<Peers>,
    seats: HashMap<RequestId, Seat>,
    timers: BinaryHeap<Reverse<(u64, u32)>>,
    actions: Vec<Action>,
    /// What carrying out an action led to: the module hears it once the action's event is through.
    later: Vec<Note>,
    swept: Instant,
    report: DisconnectReporter,
}

impl Desk {
    pub fn new(
        shop: Arc<Shop>,
        settings: &Settings,
        seed: u64,
        counter: Option<Counter>,
        wishes: Sender<Wish>,
        peers: Option<Peers>,
    ) -> Desk {
        let mut actions = Vec::new();
        let control = DecisionEngine::new(shop.door.clock.now(), seed, settings, &mut actions);
        let (seats, timers) = (HashMap::new(), BinaryHeap::new());
        Desk {
            control,
            shop,
            counter,
            wishes,
            peers,
            seats,
            timers,
            actions,
            later: Vec::new(),
            swept: Instant::now(),
            report: DisconnectReporter::default(),
        }
    }

    pub fn run(mut self, notes: &MailboxReceiver<Note>) {
        self.act();
        loop {
            let clock = self.shop.door.clock;
            let due = self
                .timers
                .peek()
                .map(|Reverse((at, _))| clock.instant(*at as f64 / 1000.0));
            match notes.recv_deadline(due) {
                Ok(Note::Stop) | Err(RecvError::Disconnected) => return,
                Ok(note) => self.hear(note),
                Err(RecvError::TimedOut) => {}
            }
            while let Some(note) = self.later.pop() {
                self.hear(note);
            }
            self.due();
        }
    }

    fn tell(&mut self, event: &Event<'_>) {
        self.control
            .handle(self.shop.door.clock.now(), event, &mut self.actions);
        self.act();
    }

    fn due(&mut self) {
        let now = (self.shop.door.clock.now() * 1000.0) as u64;
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|t| t.0 .0 <= now).copied()
        {
            self.timers.pop();
            if let Some(counter) = &mut self.counter {
                counter.expire();
            }
            self.tell(&Event::Timer { token });
        }
        if self.shop.watch.is_due() {
            self.look();
        }
        if self.swept.elapsed() >= self.shop.limits.sweep {
            self.swept = Instant::now();
            self.shop.pool.close_expired();
        }
    }

    /// Looks after all clients with a query in hand. For one whose client has left nothing more is sent; what becomes of
    /// what is at a server the module says.
    fn look(&mut self) {
        let shop = self.shop.clone();
        let clients = shop.clients.in_hand();
        for client in shop.watch.poll_disconnects(&clients) {
            let Some(id) = client.presence.request() else {
                continue;
            };
            if let Some(seat) = self.seats.get(&id) {
                shop.departures
                    .record_disconnect(seat.line.kind, seat.line.handle_disconnect());
            }
            self.hear(Note::Left { id });
        }
        clients
            .iter()
            .for_each(|client| self.hold_to_bound(&client.presence));
        if let Some(line) = self.report.next_line(&shop.departures) {
            tracing::info!("{line}");
        }
    }

    /// The invariant: what has not left whole a while after a departure never leaves.
    fn hold_to_bound(&self, presence: &ClientConnection) {
        let watch = &self.shop.watch;
        let left_for = presence
            .time_since_disconnect(watch)
            .filter(|left_for| !watch.was_suspended() && *left_for > REACTION_DEADLINE);
        let seat = presence
            .request()
            .filter(|_| left_for.is_some())
            .and_then(|id| self.seats.get(&id));
        let Some(line) = seat.map(|seat| &seat.line) else {
            return;
        };
        let Progress {
            stage,
            is_aborted: broken_off,
            ended_ago: returned_for,
        } = line.progress();
        let about_to_end =
            returned_for.is_some_and(|returned_for| returned_for <= REACTION_DEADLINE);
        if stage != ForwardStage::AtServer && !about_to_end && presence.mark_overdue() {
            self.shop
                .departures
                .record_overdue(line.kind, stage, broken_off);
        }
    }

    fn hear(&mut self, note: Note) {
        match note {
            Note::Query { new, orders, line } => {
                self.seats.insert(
                    new.id,
                    Seat {
                        orders,
                        line,
                        forwards: 0,
                        out: None,
                        over: false,
                    },
                );
                self.tell(&Event::Request(new));
            }
            Note::Left { id } => {
                if let Some(seat) = self.seats.get_mut(&id).filter(|s| !s.over) {
                    seat.over = true;
                    // Behind a forward that is out it is read once that has ended.
                    let _ = seat.orders.try_send(Order::Gone);
                    self.tell(&Event::ClientDisconnected { id });
                    self.leave(id);
                }
            }
            Note::Quit { id } => {
                let Some(seat) = self.seats.get_mut(&id) else {
                    return;
                };
                let out = seat.out.take();
                if !std::mem::replace(&mut seat.over, true) {
                    self.tell(&Event::ClientDisconnected { id });
                }
                match out {
                    // A forward that nobody took up never ran.
                    Some((forward, server)) => {
                        let (outcome, rtt, actual, load) =
                            (Outcome::NotSent, 0.0, 0, LoadReport::default());
                        self.hear(Note::Ended {
                            id,
                            forward,
                            server,
                            outcome,
                            rtt,
                            actual,
                            load,
                        });
                    }
                    None => self.leave(id),
                }
            }
            Note::Ended {
                id,
                forward,
                server,
                outcome,
                rtt,
                actual,
                load,
            } => {
                let Some(seat) = self.seats.get_mut(&id) else {
                    return;
                };
                seat.out = None;
                seat.over |= outcome == Outcome::Ok;
                let (over, used) = (seat.over, 0);
                self.tell(&Event::AttemptEnded {
                    id,
                    forward,
                    server,
                    outcome,
                    rtt,
                    is_final: over,
                    metered: used,
                    actual_units: actual,
                    load,
                });
                self.leave(id);
            }
            Note::Told(event) => self.tell(&event),
            Note::Members {
                list,
                version,
                entries,
            } => {
                self.tell(&Event::ServerList {
                    list,
                    version,
                    entries: &entries,
                });
            }
            Note::Peer { from, data } => self.tell(&Event::DatagramReceived { from, data: &data }),
            Note::CounterMoved { to } => {
                if let Some(counter) = &mut self.counter {
                    counter.move_to(to);
                }
            }
            Note::Stop => {}
        }
    }

    /// Forgets a query once it is over and nothing of it is out.
    fn leave(&mut self, id: RequestId) {
        if self
            .seats
            .get(&id)
            .is_some_and(|s| s.over && s.out.is_none())
        {
            self.seats.remove(&id);
        }
    }

    fn act(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.one(action);
        }
        self.actions = actions;
    }

    fn one(&mut self, action: Action) {
        match action {
            Action::Forward {
                id,
                server,
                timeout,
            } => {
                let Some(seat) = self.seats.get_mut(&id) else {
                    return;
                };
                let forward = seat.forwards;
                seat.forwards += 1;
                seat.out = Some((forward, server));
                if seat
                    .orders
                    .try_send(Order::Forward {
                        forward,
                        server,
                        timeout,
                    })
                    .is_err()
                {
                    self.later.push(Note::Quit { id });
                }
            }
            Action::Shed {
                id, retry_after, ..
            } => self.finish(
                id,
                Order::Shed {
                    advice: retry_after,
                },
            ),
            Action::Drop { id } => self.finish(id, Order::Drop),
            Action::Cancel { id, forward } => {
                if let Some(seat) = self.seats.get(&id) {
                    seat.line.cancel_up_to(forward);
                }
            }
            Action::AddToCounter {
                name,
                units: add,
                ttl,
            } => {
                if let Some(counter) = &self.counter {
                    counter.call(name, add, ttl);
                }
            }
            Action::Probe { server } => query::probe(&self.shop, server),
            Action::CloseConnections { server } => self.shop.pool.close_idle(server),
            Action::Timer { token, wait } => {
                let at = (self.shop.door.clock.now() + wait.max(0.0)) * 1000.0;
                self.timers.push(Reverse((at as u64, token)));
            }
            Action::FetchServers => drop(self.wishes.try_send(Wish::Fetch)),
            Action::WatchServers { on } => drop(self.wishes.try_send(Wish::Watch(on))),
            Action::SendDatagram { to, data } => {
                if let Some(peers) = &self.peers {
                    peers.tell(to, &data);
                }
            }
            Action::Log(text) => tracing::info!(target: MODULE, "{text}"),
            Action::Fault(text) => tracing::error!(target: MODULE, "{text}"),
        }
    }

    fn finish(&mut self, id: RequestId, order: Order) {
        let Some(seat) = self.seats.get_mut(&id) else {
            return;
        };
        seat.over = true;
        // A full channel means that the query answers nobody's orders: it ends by its own time.
        let _ = seat.orders.try_send(order);
        if let Some((forward, _)) = seat.out {
            // The answer is given now, and nobody is left to read what the server still sends.
            seat.line.cancel_up_to(forward);
        }
        self.leave(id);
    }
}
