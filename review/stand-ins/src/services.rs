//! The stand-ins for servers and for the platform that lists them.

use crate::http::{self, Head};
use crate::record::Record;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// How a server handles one request after its head has been read: it reads the body, runs the request and answers.
/// Returns false to close the connection.
pub type Handler = dyn Fn(&Server, &Head, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A server of the platform's list.
pub struct Server {
    pub uid: String,
    pub service: String,
    pub address: SocketAddr,
    pub record: Arc<Record>,
    runs: Arc<Runs>,
}

/// What ran where, over all servers: the uids of the servers that ran each try.
#[derive(Default)]
pub struct Runs {
    by_try: Mutex<HashMap<String, Vec<String>>>,
}

impl Runs {
    fn record(&self, try_id: &str, uid: &str) {
        let mut by_try = self.by_try.lock().unwrap_or_else(|e| e.into_inner());
        by_try
            .entry(try_id.to_string())
            .or_default()
            .push(uid.to_string());
    }

    /// The servers that ran a try.
    pub fn of(&self, try_id: &str) -> Vec<String> {
        let by_try = self.by_try.lock().unwrap_or_else(|e| e.into_inner());
        by_try.get(try_id).cloned().unwrap_or_default()
    }
}

impl Server {
    /// Records that the server begins to work on a request.
    pub fn run(&self, try_id: &str) {
        self.record
            .line(&format!("server {} runs {try_id}", self.uid));
        self.runs.record(try_id, &self.uid);
    }

    /// Writes an answer with the server's `Seal`.
    pub fn answer(
        &self,
        stream: &mut TcpStream,
        try_id: &str,
        status: u16,
        reason: &str,
        body: &[u8],
    ) -> io::Result<()> {
        self.record.line(&format!(
            "server {} answers {try_id} with {status}",
            self.uid
        ));
        let seal = format!("{}.{try_id}", self.uid);
        let fields = [("Try-Id", try_id), ("Seal", seal.as_str())];
        stream.write_all(&http::encode(status, reason, &fields, body))
    }
}

/// Starts a server at a free port.
pub fn start_server(
    ip: Ipv4Addr,
    uid: &str,
    service: &str,
    record: &Arc<Record>,
    runs: &Arc<Runs>,
    handler: Arc<Handler>,
) -> io::Result<Arc<Server>> {
    let listener = TcpListener::bind((ip, 0))?;
    let server = Arc::new(Server {
        uid: uid.to_string(),
        service: service.to_string(),
        address: listener.local_addr()?,
        record: record.clone(),
        runs: runs.clone(),
    });
    let served = server.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (server, handler) = (served.clone(), handler.clone());
            thread::spawn(move || {
                let _ = serve(&server, stream, &*handler);
            });
        }
    });
    Ok(server)
}

fn serve(server: &Server, mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(head) = http::read_head(&mut stream)? {
        if head.start.starts_with("GET /healthz") {
            let fields = [("Server-Id", server.uid.as_str()), ("Server-Load", "0,0,2")];
            stream.write_all(&http::encode(200, "OK", &fields, b""))?;
            continue;
        }
        let wanted = head.field("Want-Server");
        if wanted.is_some_and(|wanted| wanted != server.uid) {
            let try_id = head.field("Try-Id").unwrap_or("").to_string();
            http::skip_body(&mut stream, head.content_length())?;
            let fields = [("Try-Id", try_id.as_str()), ("Not-Run", "1")];
            stream.write_all(&http::encode(421, "Misdirected Request", &fields, b""))?;
            continue;
        }
        if !handler(server, &head, &mut stream)? {
            break;
        }
    }
    Ok(())
}

/// Starts the platform's list of servers.
pub fn start_platform(
    ip: Ipv4Addr,
    zone: &'static str,
    servers: Vec<Arc<Server>>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let entries = servers.iter().map(|server| {
            format!(
                r#"{{"svc":"{}","addr":"{}","az":"{zone}","gen":"v1","slots":2,"phase":"up","warm-left-ms":0,"uid":"{}"}}"#,
                server.service, server.address, server.uid
            )
        });
        let body = format!(
            r#"{{"servers":[{}],"next":null}}"#,
            entries.collect::<Vec<_>>().join(",")
        );
        for mut stream in listener.incoming().flatten() {
            let body = body.clone();
            thread::spawn(move || {
                while let Ok(Some(_)) = http::read_head(&mut stream) {
                    let fields = [("Content-Type", "application/json")];
                    if stream
                        .write_all(&http::encode(200, "OK", &fields, body.as_bytes()))
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}
