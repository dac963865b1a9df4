//! Reads the platform's list of servers, page after page, on one connection.

use aspendrum_catalog::servers::{self, Server};
use aspendrum_folio::message::{self, Bounds};
use aspendrum_folio::pool::{Conn, Lines};
use std::io::Write;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

const BOUNDS: Bounds = Bounds { head: 8 << 10, body: 4 << 20 };
/// For a whole list: a page is answered in a round trip, and a list that takes longer is read anew.
const WAIT: Duration = Duration::from_millis(1500);

pub fn lines() -> Lines {
    Lines {
        sockets: 4,
        ring: 4 << 10,
        ring_top: BOUNDS.head + BOUNDS.body,
        shortest: Duration::from_millis(1),
        write: Duration::from_millis(500),
        read: Duration::from_millis(500),
        idle: Duration::from_secs(3),
        rest: Duration::ZERO,
    }
}

/// The whole list, or why there is none. `held`: a connection that may serve again.
pub fn list(addr: SocketAddrV4, held: &mut Option<Conn>) -> Result<Vec<Server>, String> {
    let reused = held.is_some();
    match whole(addr, held) {
        // The platform closes connections that were idle: that says nothing of it.
        Err(_) if reused => {
            *held = None;
            whole(addr, held)
        }
        got => got,
    }
}

fn whole(addr: SocketAddrV4, held: &mut Option<Conn>) -> Result<Vec<Server>, String> {
    let (lines, until) = (lines(), Instant::now() + WAIT);
    let (mut all, mut token) = (Vec::new(), None::<String>);
    loop {
        let mut conn = match held.take() {
            Some(conn) => conn,
            None => Conn::apart(addr.into(), WAIT, &lines).map_err(|e| e.to_string())?,
        };
        let query = token.as_ref().map_or(String::new(), |t| format!("?page-tok={t}"));
        write!(conn.outward, "GET /servers{query} HTTP/1.1\r\nHost: {addr}\r\n\r\n")
            .map_err(|e| e.to_string())?;
        conn.send().map_err(|e| format!("{e:?}"))?;
        let answer = conn.receive(until, &lines, |ring| message::response(ring, &BOUNDS));
        let answer = answer.map_err(|e| format!("{e:?}"))?;
        if answer.status != 200 {
            return Err(format!("status {}", answer.status));
        }
        if !answer.close {
            *held = Some(conn);
        }
        let (page, next) = servers::page(&answer.body)?;
        all.extend(page);
        token = next;
        if token.is_none() {
            return Ok(all);
        }
    }
}
