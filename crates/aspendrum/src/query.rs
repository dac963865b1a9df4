//! The life of one query, from the moment it is read to its answer's last byte, and that of a probe. The
//! desk chooses; this thread carries out and always gives exactly one answer, even if the desk says nothing.

use crate::client::Client;
use crate::clock::{as_ms, ms};
use crate::http::{self, Answer, Asked};
use crate::notes::{Note, Order};
use crate::Shop;
use aspendrum_core::api::*;
use aspendrum_net::forward::{ForwardHandle, ForwardStage, RequestKind};
use aspendrum_net::mailbox;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// From here to the end it is one query's life. `at` is when its last byte was read. True: its connection
/// goes on.
pub fn serve(shop: &Shop, client: &Client, asked: &Asked, id: RequestId, at: Instant) -> bool {
    let limits = &shop.limits;
    let until = at + ms(asked.wait);

    // The desk hears of it, and the module decides when it may go on and where.
    let (desk, orders) = mailbox::for_current_thread(limits.orders);
    let repeatable =
        shop.lanes.semantics.get(usize::from(asked.group)) == Some(&Semantics::Idempotent);
    let line = Arc::new(ForwardHandle::new(if repeatable {
        RequestKind::Idempotent
    } else {
        RequestKind::OnceOnly
    }));
    client.presence.begin_request(id, &shop.watch);
    let new = NewRequest {
        id,
        group: asked.group,
        deadline: shop.door.clock.at(until),
        tenant: asked.acct,
        plan: asked.plan,
        instances: asked.spread,
        units: asked.units,
        first_instance: asked.first,
        is_client_retry: asked.client_repeat,
        is_write: asked.write,
        pool: 0,
        allowed_zones: u64::MAX,
        max_attempts: u8::MAX,
    };
    let last = until + limits.desk_late;
    let taken = shop.door.tell_by(
        last,
        Note::Query {
            new,
            orders: desk,
            line: line.clone(),
        },
    );
    // The desk may have heard of the departure before it knew the query.
    if client.presence.has_disconnected() {
        shop.departures
            .record_disconnect(line.kind, line.handle_disconnect());
        shop.door.tell(Note::Left { id });
    }

    // Each order is carried out; one of them ends the query. A desk that stays silent past the client's time
    // does not leave the query without an answer, and one that may have run is not called shed.
    let mut may_have_run = false;
    loop {
        let order = if taken {
            orders.recv_deadline(Some(last)).ok()
        } else {
            None
        };
        match order {
            Some(Order::Forward {
                forward,
                server,
                timeout,
            }) => {
                let wait = if timeout > 0.0 {
                    (Instant::now() + ms(timeout)).min(until)
                } else {
                    until
                };
                let begun = Instant::now();
                let (outcome, answer) = carry(shop, client, &line, asked, (forward, server), wait);
                let rtt = as_ms(begun.elapsed());
                let load = answer.as_ref().map_or(LoadReport::default(), |a| a.load);
                // A server that names no units took those that were asked for.
                let charged = answer.as_ref().filter(|_| outcome == Outcome::Ok);
                let actual = charged
                    .map_or(0.0, |a| a.charged.unwrap_or(asked.units))
                    .ceil() as u16;
                let proven = matches!(
                    outcome,
                    Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
                );
                may_have_run |= !proven;
                // A server that takes the query for malformed says nothing of itself, and another would say
                // the same: the fault is the client's, who hears of it.
                if let Some(status) = answer
                    .as_ref()
                    .map(|a| a.status)
                    .filter(|s| (400..500).contains(s))
                {
                    client.answer(shop, status, 0.0, true, b"", b"");
                    shop.door.tell(Note::Quit { id });
                    return false;
                }
                // The answer goes on before anything else is done.
                let answered = answer.filter(|_| outcome == Outcome::Ok);
                let stays = answered
                    .map(|a| client.answer(shop, 200, 0.0, asked.close, &a.content_type, &a.body));
                shop.door.tell(Note::Ended {
                    id,
                    forward,
                    server,
                    outcome,
                    rtt,
                    actual,
                    load,
                });
                if let Some(stays) = stays {
                    return stays;
                }
            }
            Some(Order::Shed { advice }) => {
                return client.answer(shop, 503, advice, asked.close, b"", b"")
            }
            Some(Order::Drop) => return client.answer(shop, 504, 0.0, asked.close, b"", b""),
            Some(Order::Gone) => return false,
            None => {
                let status = if may_have_run { 504 } else { 503 };
                let stays = client.answer(shop, status, 0.0, asked.close, b"", b"");
                shop.door.tell(Note::Quit { id });
                return stays;
            }
        }
    }
}

/// One forward, sent once. The outcome goes by the last byte written: before it the query never ran, after
/// it it may have.
fn carry(
    shop: &Shop,
    client: &Client,
    line: &ForwardHandle,
    asked: &Asked,
    (forward, server): (u8, ServerId),
    until: Instant,
) -> (Outcome, Option<Answer>) {
    let left = || until.saturating_duration_since(Instant::now());
    if left().is_zero() {
        return (Outcome::NotSent, None);
    }
    // The line has the socket before it is connected: a query that is given up meanwhile must not wait for
    // a server that never comes up.
    let wait = left().min(shop.limits.connect_wait);
    let mut conn = match shop.pool.acquire(server, wait, Duration::MAX, |stream| {
        line.begin_attempt(forward, stream)
    }) {
        Ok(conn) => conn,
        Err(outcome) => {
            return (
                if line.end_attempt(forward) {
                    Outcome::NotSent
                } else {
                    outcome
                },
                None,
            )
        }
    };
    let wait = as_ms(left());
    let left_for = client.presence.time_since_disconnect(&shop.watch);
    let written =
        asked.forward(wait, &mut conn.outgoing) && line.advance(forward, ForwardStage::Sending);
    left_for
        .iter()
        .filter(|_| written)
        .for_each(|left_for| shop.departures.record_send(line.kind, *left_for));
    let sent = if written {
        conn.send()
    } else {
        Err(Outcome::NotSent)
    };
    line.advance(forward, ForwardStage::AtServer);
    let got = sent.and_then(|()| http::receive(&mut conn, until, shop));
    let cut = line.end_attempt(forward);
    match got {
        // What came back whole counts, even if the cut came in the same moment.
        Ok(answer) => {
            let outcome = outcome(&answer);
            if !cut && !answer.close {
                shop.pool.release(server, conn);
            }
            (outcome, Some(answer))
        }
        // Its last byte was not written. That it was cut is not the server's doing.
        Err(Outcome::ConnectFailed | Outcome::NotSent) if cut => (Outcome::NotSent, None),
        Err(outcome @ (Outcome::ConnectFailed | Outcome::NotSent)) => (outcome, None),
        Err(_) if cut => (Outcome::Cancelled, None),
        Err(outcome) => (outcome, None),
    }
}

fn outcome(answer: &Answer) -> Outcome {
    match answer.status {
        200 => Outcome::Ok,
        503 | 504 if answer.turned_away => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// Asks after a server, on a thread of its own; the desk hears of it in any case.
pub fn probe(shop: &Arc<Shop>, server: ServerId) {
    let own = shop.clone();
    let job = move || {
        let begun = Instant::now();
        let (outcome, load) = match ask(&own, server, begun + own.limits.probe_wait) {
            Ok(told) => told,
            Err(outcome) => (outcome, LoadReport::default()),
        };
        let rtt = as_ms(begun.elapsed());
        let values = &load.values[..usize::from(load.count)];
        tracing::debug!(
            server = format_args!("{server:x}"),
            ?outcome,
            ?values,
            "probed"
        );
        own.door.tell(Note::Told(Event::ProbeEnded {
            server,
            outcome,
            rtt,
            load,
        }));
    };
    if shop.workers.run(Box::new(job)).is_err() {
        let (outcome, load) = (Outcome::ConnectFailed, LoadReport::default());
        let _ = shop.door.offer(Note::Told(Event::ProbeEnded {
            server,
            outcome,
            rtt: 0.0,
            load,
        }));
    }
}

fn ask(shop: &Shop, server: ServerId, until: Instant) -> Result<(Outcome, LoadReport), Outcome> {
    let path = if shop.lanes.load_values.is_empty() {
        http::LIVE
    } else {
        http::STATS
    };
    let wait = || until.saturating_duration_since(Instant::now());
    let mut conn = shop.pool.acquire(server, wait(), Duration::MAX, |_| true)?;
    http::get(&mut conn.outgoing, path);
    conn.send()?;
    let answer = http::receive(&mut conn, until, shop)?;
    let load = match answer.load.count {
        0 => http::load_of_body(&answer.body, &shop.lanes.load_values),
        _ => answer.load,
    };
    if !answer.close {
        shop.pool.release(server, conn);
    }
    let outcome = match answer.status {
        200 => Outcome::Ok,
        503 => Outcome::Rejected,
        _ => Outcome::Error,
    };
    Ok((outcome, load))
}
