//! A server of a service, and the platform's list of servers.

use crate::http::{Connection, Head};
use crate::record::Record;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub try_id: String,
    pub server: String,
    pub tenant: String,
    /// Milliseconds since the start of the record.
    pub at_ms: f64,
}

/// All runs of all servers.
#[derive(Clone)]
pub struct Runs {
    pub record: Record,
    pub list: Arc<Mutex<Vec<Run>>>,
    /// Whether each run gets a line in the record.
    pub is_recorded: bool,
}

impl Runs {
    pub fn new(record: &Record, is_recorded: bool) -> Runs {
        Runs {
            record: record.clone(),
            list: Arc::default(),
            is_recorded,
        }
    }

    /// Records that a server began to work on a request.
    pub fn add(&self, server: &str, head: &Head) {
        let run = Run {
            try_id: head.header("Try-Id").unwrap_or("").to_string(),
            server: server.to_string(),
            tenant: head.header("Tenant").unwrap_or("").to_string(),
            at_ms: self.record.now_ms(),
        };
        if self.is_recorded {
            self.record.line(&format!("server {server} runs {}", run.try_id));
        }
        if let Ok(mut list) = self.list.lock() {
            list.push(run);
        }
    }

    /// Returns the number of runs of a request.
    pub fn count(&self, try_id: &str) -> usize {
        let list = self.list.lock().map(|list| list.clone()).unwrap_or_default();
        list.iter().filter(|run| run.try_id == try_id).count()
    }
}

/// What a server does with a request that names it. It returns whether the connection is kept.
pub type Behaviour = dyn Fn(&ServerContext, &mut Connection, &Head) -> std::io::Result<bool> + Send + Sync;

/// The identity of a server.
#[derive(Clone)]
pub struct ServerContext {
    pub uid: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub runs: Runs,
}

/// Starts a server at `ip` on a free port.
pub fn start(
    ip: Ipv4Addr,
    uid: &str,
    service: &str,
    zone: &str,
    runs: &Runs,
    behaviour: Arc<Behaviour>,
) -> std::io::Result<ServerContext> {
    let listener = TcpListener::bind((ip, 0))?;
    let context = ServerContext {
        uid: uid.to_string(),
        service: service.to_string(),
        zone: zone.to_string(),
        address: listener.local_addr()?,
        runs: runs.clone(),
    };
    let served = context.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (context, behaviour) = (served.clone(), behaviour.clone());
            let serve = move || {
                let _ = serve(&context, &mut Connection::new(stream), &*behaviour);
            };
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(serve);
        }
    });
    Ok(context)
}

fn serve(
    context: &ServerContext,
    connection: &mut Connection,
    behaviour: &Behaviour,
) -> std::io::Result<()> {
    while let Some(head) = connection.read_head()? {
        if head.path() == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nServer-Id: {}\r\nServer-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n",
                context.uid
            );
            connection.stream.write_all(text.as_bytes())?;
            continue;
        }
        let try_id = head.header("Try-Id").unwrap_or("").to_string();
        if head.header("Want-Server").is_some_and(|wanted| wanted != context.uid) {
            connection.read_body(head.content_length())?;
            answer(connection, 421, &try_id, &["Not-Run: 1"], b"")?;
            continue;
        }
        if !behaviour(context, connection, &head)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Writes an answer.
pub fn answer(
    connection: &mut Connection,
    status: u16,
    try_id: &str,
    headers: &[&str],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nTry-Id: {try_id}\r\nServer-Load: 0,0,8\r\n");
    for header in headers {
        text += header;
        text += "\r\n";
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    connection.stream.write_all(&bytes)
}

/// A sound server: it reads the whole request, runs it for `work`, and answers with success.
pub fn run_soundly(
    context: &ServerContext,
    connection: &mut Connection,
    head: &Head,
    work: Duration,
) -> std::io::Result<bool> {
    connection.read_body(head.content_length())?;
    context.runs.add(&context.uid, head);
    if !work.is_zero() {
        thread::sleep(work);
    }
    let seal = format!("Seal: {}", seal(context, head));
    answer(connection, 200, head.header("Try-Id").unwrap_or(""), &[&seal], b"done")?;
    Ok(true)
}

/// Returns the stamp of a server's answer.
pub fn seal(context: &ServerContext, head: &Head) -> String {
    format!("{}.{}", context.uid, head.header("Try-Id").unwrap_or(""))
}

/// Starts the platform with a list of servers.
pub fn start_platform(ip: Ipv4Addr, servers: &[ServerContext]) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let entries: Vec<String> = servers
        .iter()
        .map(|server| {
            format!(
                r#"{{"uid":"{}","svc":"{}","addr":"{}","az":"{}","gen":"v1","slots":8,"phase":"up","warm-left-ms":0}}"#,
                server.uid, server.service, server.address, server.zone
            )
        })
        .collect();
    let body = format!(r#"{{"servers":[{}],"next":null}}"#, entries.join(","));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let body = body.clone();
            thread::spawn(move || serve_list(stream, &body));
        }
    });
    Ok(address)
}

fn serve_list(stream: TcpStream, body: &str) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(_)) = connection.read_head() {
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if connection.stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
