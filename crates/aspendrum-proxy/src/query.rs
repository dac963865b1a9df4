//! The life of one query, on the thread of its client's connection: found its route and tenant, asked of the
//! desk, carried to a server as often as that orders, and answered exactly once.

use crate::answer::{Answer, Then};
use crate::departures;
use crate::desk::{Ask, Order, View};
use crate::door::Client;
use crate::wire::{self, Taken};
use crate::Shop;
use aspendrum_core::api::{LoadReport, Millis, Outcome, RequestId, ServerId};
use aspendrum_net::connection::Connection;
use aspendrum_net::forward::{ForwardHandle, ForwardStage, RequestKind};
use aspendrum_net::http1::{self, MessageLimits, Request, Response};
use aspendrum_net::mailbox;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Orders of one query that may wait.
const ORDERS: usize = 8;
/// The client is answered so much before it gives up.
const MARGIN: Duration = Duration::from_millis(12);
/// When to come again where nothing is known that says when.
const AGAIN_MS: Millis = 150.0;
/// Of a query's aim, how long it waits for a server at the most.
const HELD_SHARE: f64 = 0.4;
/// Without the desk's word a query ends so long after its time.
const DESK_LATE: Duration = Duration::from_millis(20);
/// Answers that belong to other tries, read over on one connection.
const STRANGERS: usize = 3;

struct Query<'a> {
    shop: &'a Shop,
    client: &'a Client,
    forward: Arc<ForwardHandle>,
    request: &'a Request,
    id: &'a str,
    repeatable: bool,
    tenant: Option<&'a str>,
    host: &'a str,
    /// The key that its tenant was found by.
    key: Option<&'a str>,
    until: Instant,
    then: Then,
    /// A forward was written whole and is not known to have run nowhere.
    may_have_run: bool,
    /// A server's own failure, to be passed on if nothing better comes.
    failure: Option<Response>,
}

/// An answer for a request that is not taken: it has not run, and another proxy may.
pub fn turn_away(request: &Request) -> Answer {
    let id = wire::asked(request).map_or("", |asked| asked.id);
    Answer::own(503, id, Some(AGAIN_MS), Then::EndsIdle)
}

pub fn serve(shop: &Shop, client: &Client, request: &Request, at: Instant) -> Answer {
    let then = if request.close {
        Then::Ends
    } else {
        Then::KeepsOn
    };
    let own = |status, id: &str| Answer::own(status, id, None, then);
    let Some(asked) = wire::asked(request) else {
        return own(400, "");
    };
    let turned_away = || Answer::own(503, asked.id, Some(AGAIN_MS), Then::EndsIdle);
    let Some(view) = shop.desk.view().filter(|_| request.path.starts_with('/')) else {
        return turned_away();
    };
    let Some(route) = view.config.route(asked.host, &request.path) else {
        return own(404, asked.id);
    };
    let rule = &view.config.routes[route];
    let tenant = match (view.config.tenants.is_some(), asked.key) {
        (true, Some(key)) => match view.config.tenant(key) {
            None if !rule.is_public => return own(401, asked.id),
            found => found,
        },
        (true, None) if !rule.is_public => return own(401, asked.id),
        _ => None,
    };
    // A key may have been taken away unheard: the licence says that none was, up to now.
    if tenant.is_some() && !shop.licensed() {
        return turned_away();
    }
    // It may be meant for elsewhere by now: another proxy knows. Repeatable ones flow on.
    if !rule.idempotent && !shop.runs_once_only() {
        return turned_away();
    }
    let zones = view.route_zones[route] & tenant.map_or(u64::MAX, |n| view.tenant_zones[n]);
    let service = rule.service(fastrand::f64());
    let Some(pool) = view.pools.get(service).copied() else {
        return own(404, asked.id);
    };
    let wait = asked
        .budget
        .unwrap_or(rule.timeout_ms)
        .min(rule.timeout_ms)
        .clamp(0.0, 3_600_000.0);
    let until = at + Duration::from_secs_f64(wait / 1000.0);
    let kind = if rule.idempotent {
        RequestKind::Idempotent
    } else {
        RequestKind::OnceOnly
    };
    let mut query = Query {
        shop,
        client,
        forward: Arc::new(ForwardHandle::new(kind)),
        request,
        id: asked.id,
        repeatable: rule.idempotent,
        tenant: tenant.and_then(|n| Some(view.config.tenants.as_ref()?[n].name.as_str())),
        host: asked.host,
        key: asked.key.filter(|_| tenant.is_some()),
        until,
        then,
        may_have_run: false,
        failure: None,
    };
    let answer = query.run(&view, route, pool, tenant, zones);
    client.presence.end_request();
    answer
}

impl Query<'_> {
    fn run(
        &mut self,
        view: &View,
        route: usize,
        service: u16,
        tenant: Option<usize>,
        zones: u64,
    ) -> Answer {
        let (post, orders) = mailbox::for_current_thread(ORDERS);
        let until = self.until;
        let forward = self.forward.clone();
        let ask = Ask {
            route,
            service,
            tenant,
            zones,
            until,
            orders: post,
            forward,
        };
        let id = self.shop.desk.ask(view, ask);
        if !self.client.presence.begin_request(id, &self.shop.watch) {
            departures::depart(self.shop, id);
        }
        let goal = view.config.routes[route].latency_target_ms;
        loop {
            // A query that no server can take now is better asked of another proxy, while its aim can be met.
            let held = Instant::now() + Duration::from_secs_f64(goal * HELD_SHARE / 1000.0);
            match orders.recv_deadline(Some(held.min(until + DESK_LATE))).ok() {
                Some(Order::Forward { forward, server }) if !self.decided(view, route) => {
                    self.moot(id, forward, server);
                    self.shop.desk.quit(id);
                    return if self.may_have_run {
                        self.give_up()
                    } else {
                        self.refuse(503, AGAIN_MS)
                    };
                }
                Some(Order::Forward { forward, server }) => {
                    if let Some(response) = self.carry(id, forward, server) {
                        return self.pass_on(response);
                    }
                }
                Some(Order::Shed { advice, beyond }) => {
                    self.shop.desk.quit(id);
                    let again = if advice > 0.0 { advice } else { AGAIN_MS };
                    return self.refuse(if beyond { 429 } else { 503 }, again);
                }
                Some(Order::Drop) => {
                    self.shop.desk.quit(id);
                    return self.give_up();
                }
                Some(Order::Gone) => {
                    self.shop.desk.quit(id);
                    return Answer::nothing();
                }
                Some(Order::Spent) => {
                    self.shop.desk.quit(id);
                    return if self.may_have_run {
                        self.give_up()
                    } else {
                        self.refuse(503, AGAIN_MS)
                    };
                }
                None => {
                    self.shop.desk.quit(id);
                    // An order that came in the same moment is not carried out.
                    while let Ok(Order::Forward { forward, server }) =
                        orders.recv_deadline(Some(Instant::now()))
                    {
                        self.moot(id, forward, server);
                    }
                    return if self.may_have_run {
                        self.give_up()
                    } else {
                        self.refuse(503, AGAIN_MS)
                    };
                }
            }
        }
    }

    /// That forward never left, and the query is over.
    fn moot(&self, id: RequestId, forward: u8, server: ServerId) {
        self.shop.desk.ended(
            id,
            forward,
            server,
            (Outcome::NotSent, 0.0, LoadReport::default()),
            true,
        );
    }

    /// Whether a once-only query that has waited for a server may still go where it was bound for: what it was
    /// found by is in force, and that is what was decided. What is at a server already goes on.
    fn decided(&self, view: &View, route: usize) -> bool {
        if self.repeatable {
            return true;
        }
        let same = |now: &View| {
            let found = now.config.route(self.host, &self.request.path);
            let tenant = self.key.map(|key| now.config.tenant(key).is_some());
            found.is_some_and(|n| now.config.routes[n] == view.config.routes[route])
                && tenant != Some(false)
        };
        let now = self.shop.desk.view();
        self.shop.runs_once_only() && now.is_some_and(|now| std::ptr::eq(&*now, view) || same(&now))
    }

    /// A promise that nothing ran, kept only where that is so.
    fn refuse(&self, status: u16, again: Millis) -> Answer {
        if self.may_have_run && !self.repeatable {
            return self.give_up();
        }
        // It comes back on a new connection, and would leave this one open: a tenant far beyond its quota had
        // 1,800 of them at each proxy.
        let then = if self.then == Then::Ends {
            Then::Ends
        } else {
            Then::EndsIdle
        };
        Answer::own(status, self.id, Some(again), then)
    }

    fn give_up(&self) -> Answer {
        if let Some(failure) = &self.failure {
            return self.pass_on(failure.clone());
        }
        if !self.may_have_run && Instant::now() + MARGIN < self.until {
            return Answer::own(503, self.id, Some(AGAIN_MS), self.then);
        }
        let status = match (self.may_have_run, Instant::now() + 2 * MARGIN >= self.until) {
            (false, _) => 503,
            (true, true) => 504,
            (true, false) => 502,
        };
        Answer::own(status, self.id, None, self.then)
    }

    fn pass_on(&self, response: Response) -> Answer {
        // What a server says without its word that nothing ran is no promise of ours.
        let promises = matches!(response.status, 408 | 421 | 429 | 503);
        let status = if promises && self.may_have_run {
            502
        } else {
            response.status
        };
        Answer::passed_on(response, status, self.then)
    }

    /// One forward. An answer that ends the query, if it brought one.
    fn carry(&mut self, id: RequestId, forward: u8, server: ServerId) -> Option<Response> {
        let begun = Instant::now();
        let (outcome, response) = self.attempt(forward, server, begun);
        let load = response.as_ref().map_or(LoadReport::default(), wire::load);
        let over = outcome == Outcome::Ok;
        let proven = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        self.may_have_run |= !proven;
        let rtt = begun.elapsed().as_secs_f64() * 1000.0;
        self.shop
            .desk
            .ended(id, forward, server, (outcome, rtt, load), over);
        if over {
            return response;
        }
        self.failure = response
            .filter(|r| !proven && wire::taken(r) == Taken::Failed)
            .or(self.failure.take());
        None
    }

    fn attempt(
        &mut self,
        forward: u8,
        server: ServerId,
        begun: Instant,
    ) -> (Outcome, Option<Response>) {
        let (shop, until) = (self.shop, self.until - MARGIN);
        let left = until.saturating_duration_since(begun);
        if left.is_zero() {
            return (Outcome::NotSent, None);
        }
        let Some((addr, uid)) = shop.desk.server(server) else {
            return (Outcome::NotSent, None);
        };
        shop.pool.set_address(server, addr.into());
        let most = if self.repeatable {
            Duration::MAX
        } else {
            shop.rest()
        };
        let shown = |stream: &Arc<TcpStream>| self.forward.begin_attempt(forward, stream);
        let taken = shop
            .pool
            .acquire(server, left.min(shop.connect_wait), most, shown);
        let mut conn = match taken {
            Ok(conn) => conn,
            Err(_) if self.forward.end_attempt(forward) => return (Outcome::NotSent, None),
            Err(outcome) => return (outcome, None),
        };
        let got = self.exchange(&mut conn, forward, &uid, until);
        let broken_off = self.forward.end_attempt(forward);
        match got {
            Ok(response) => {
                if !response.close && !broken_off {
                    let kept =
                        wire::keeps_for(&response).map(|s| Duration::from_secs_f64(s * KEPT_SHARE));
                    conn.idle_timeout = kept.map_or(conn.idle_timeout, |k| k.min(MOST_IDLE));
                    shop.pool.release(server, conn);
                }
                match wire::taken(&response) {
                    Taken::Final => (Outcome::Ok, Some(response)),
                    Taken::Full => (Outcome::Rejected, None),
                    Taken::Misdirected => (Outcome::ConnectFailed, None),
                    Taken::Failed => (Outcome::Error, Some(response)),
                    Taken::Spoilt => (Outcome::Error, None),
                }
            }
            // It never left whole. That it was broken off is not its server's doing.
            Err(Outcome::ConnectFailed | Outcome::NotSent) if broken_off => {
                (Outcome::NotSent, None)
            }
            Err(_) if broken_off => (Outcome::Cancelled, None),
            Err(outcome) => (outcome, None),
        }
    }

    /// Sends the request on that connection and reads its answer, over those to other tries.
    fn exchange(
        &self,
        conn: &mut Connection,
        forward: u8,
        server: &str,
        until: Instant,
    ) -> Result<Response, Outcome> {
        let shop = self.shop;
        let budget = (until.saturating_duration_since(Instant::now()).as_millis() as u64).max(1);
        let request = wire::forward(self.request, server, self.tenant, budget);
        let left_for = self.client.presence.time_since_disconnect(&shop.watch);
        if !conn.outgoing.append(&request) || !self.forward.advance(forward, ForwardStage::Sending)
        {
            return Err(Outcome::NotSent);
        }
        left_for
            .iter()
            .for_each(|left_for| shop.departures.record_send(self.forward.kind, *left_for));
        conn.send()?;
        self.forward.advance(forward, ForwardStage::AtServer);
        for _ in 0..=STRANGERS {
            let got = conn.receive(until, shop.pool.connection_options(), |ring| {
                http1::parse_response(ring, &SERVER_BOUNDS)
            });
            let response = match got {
                Ok(response) => response,
                Err(outcome) => {
                    let broken_off = self.forward.progress().is_aborted;
                    if outcome == Outcome::Reset
                        && conn.nothing_received()
                        && !conn.idle_time().is_zero()
                        && !broken_off
                    {
                        shop.forgotten(conn.idle_time());
                    }
                    return Err(outcome);
                }
            };
            let turned_away = wire::nameless(&response)
                && matches!(wire::taken(&response), Taken::Full | Taken::Misdirected);
            if wire::answers(&response, self.id) || turned_away {
                return Ok(response);
            }
            // One answer of an earlier try may come late, in the place of ours.
            if response.close {
                return Err(Outcome::Reset);
            }
        }
        Err(Outcome::Error)
    }
}

/// Servers' answers are as large as the service makes them.
pub const SERVER_BOUNDS: MessageLimits = MessageLimits {
    head_bytes: 32 << 10,
    body_bytes: 64 << 20,
};
/// Of the time that a server keeps an idle connection, how long we use it: a request on a connection that is
/// being closed may or may not have run.
const KEPT_SHARE: f64 = 0.6;
const MOST_IDLE: Duration = Duration::from_secs(30);

/// Asks after a server, and tells the desk in any case.
pub fn probe(shop: &Shop, server: ServerId) {
    let begun = Instant::now();
    let until = begun + shop.connect_wait;
    let told = || -> Result<(Outcome, LoadReport, Option<Millis>), Outcome> {
        let (addr, uid, path) = shop.desk.check(server).ok_or(Outcome::NotSent)?;
        shop.pool.set_address(server, addr.into());
        let mut conn = shop
            .pool
            .acquire(server, shop.connect_wait, Duration::MAX, |_| true)?;
        conn.outgoing.append(&wire::probe(&path, &addr.to_string()));
        conn.send()?;
        let answer = conn.receive(until, shop.pool.connection_options(), |ring| {
            http1::parse_response(ring, &SERVER_BOUNDS)
        })?;
        let (load, left) = (wire::load(&answer), wire::warm_left(&answer));
        let well = answer.status == 200 && wire::server(&answer) == Some(uid.as_str());
        if !answer.close {
            shop.pool.release(server, conn);
        }
        Ok((if well { Outcome::Ok } else { Outcome::Error }, load, left))
    };
    let (outcome, load, left) =
        told().unwrap_or_else(|outcome| (outcome, LoadReport::default(), None));
    shop.desk.probed(
        server,
        outcome,
        begun.elapsed().as_secs_f64() * 1000.0,
        load,
        left,
    );
}
