//! Calls to control: to one machine after another until one answers.

use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_client::HttpClient;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const BOUNDS: MessageLimits = MessageLimits {
    head_bytes: 16 << 10,
    body_bytes: 64 << 20,
};
/// A machine without a majority says so within a second; a large configuration takes longer on its way.
const CALL: Duration = Duration::from_millis(1500);
/// An order that nobody can acknowledge is given up then; it may come to be held all the same.
const ORDER: Duration = Duration::from_secs(15);

pub struct Control {
    at: Vec<SocketAddrV4>,
}

impl Control {
    pub fn new(at: &[SocketAddrV4]) -> Control {
        Control { at: at.to_vec() }
    }

    /// Sends it until it is acknowledged or refused; the status and what was said.
    pub fn order(&self, method: &str, path: &str, body: &[u8]) -> Result<(u16, String), String> {
        let (begun, mut last) = (Instant::now(), String::new());
        while begun.elapsed() < ORDER {
            for at in &self.at {
                match HttpClient::new(*at, BOUNDS).call(method, path, body, CALL) {
                    Ok(answer)
                        if answer.status < 500 && answer.status != 429 && answer.status != 408 =>
                    {
                        return Ok((
                            answer.status,
                            String::from_utf8_lossy(&answer.body).into_owned(),
                        ));
                    }
                    Ok(answer) => last = format!("{at} answered {}", answer.status),
                    Err(why) => last = format!("{at}: {why}"),
                }
            }
            // They need a moment to find each other.
            std::thread::sleep(Duration::from_millis(200));
        }
        Err(format!(
            "no machine of control acknowledged it within {ORDER:?}; it may be held all the same; {last}"
        ))
    }

    pub fn show(&self) -> Result<Vec<u8>, String> {
        match self.order("GET", "/api/Cfg.Show", b"")? {
            (200, text) => Ok(text.into_bytes()),
            (status, _) => Err(format!("status {status}")),
        }
    }

    fn ask(at: SocketAddrV4, path: &str) -> Result<Value, String> {
        let answer = HttpClient::new(at, BOUNDS)
            .call("GET", path, b"", CALL)
            .map_err(|e| format!("{at}: {e}"))?;
        match answer.status {
            200 => serde_json::from_slice(&answer.body).map_err(|e| format!("{at}: {e}")),
            status => Err(format!("{at} answered {status}")),
        }
    }

    pub fn explain(&self, host: &str, path: &str) -> Result<Value, String> {
        let path = format!("/api/Explain?host={host}&path={path}");
        let mut last = String::new();
        for at in &self.at {
            match Control::ask(*at, &path) {
                Ok(told) => return Ok(told),
                Err(why) => last = why,
            }
        }
        Err(last)
    }

    /// What each machine of control that answers knows: those named, and those that they know of, whose ports are
    /// alike.
    pub fn nodes(&self) -> Result<Vec<Value>, String> {
        let mut left: Vec<SocketAddrV4> = self.at.clone();
        let (mut seen, mut all, mut last) = (BTreeSet::new(), Vec::new(), String::new());
        while let Some(at) = left.pop() {
            if !seen.insert(at) {
                continue;
            }
            match Control::ask(at, "/api/Nodes") {
                Ok(told) => {
                    let others = told["control"].as_array().into_iter().flatten();
                    let ips = others.filter_map(|ip| ip.as_str()?.parse::<Ipv4Addr>().ok());
                    left.extend(ips.map(|ip| SocketAddrV4::new(ip, at.port())));
                    all.push(told);
                }
                Err(why) => last = why,
            }
        }
        if all.is_empty() {
            return Err(last);
        }
        Ok(all)
    }
}
