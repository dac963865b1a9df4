//! Counts the bytes on the heap, and provides clients and servers that do not hold the bodies that they send and
//! receive.

use super::common::proxy_with_caps;
use aspendrum_proxy::{listener, ProxyState};
use std::alloc::{GlobalAlloc, Layout, System};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `mem-mb` of the proxy.
const MEMORY_LIMIT_MB: usize = 32;
pub(crate) const MEMORY_LIMIT_BYTES: usize = MEMORY_LIMIT_MB << 20;
/// `body-bytes`, which is half of `mem-mb`.
pub(crate) const BODY_LIMIT_BYTES: usize = 16 << 20;
pub(crate) const SMALL_BODY_BYTES: usize = 7200;
/// A response that leaves no room for a second one in the memory for responses.
pub(crate) const LARGE_RESPONSE_BYTES: usize = 7_000_000;
/// A body just within `body-bytes`.
pub(crate) const LARGE_BODY_BYTES: usize = 16_000_000;
/// The pieces in which clients and servers send bodies.
static PIECE: [u8; 64 << 10] = [b'x'; 64 << 10];
/// A client that gets no answer within this time fails its test.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);
const CONFIG: &str = r#"{"gen":"00000001","caps":{"hdr-bytes":16384,"body-bytes":16777216,"hdr-ms":60000,"idle-ms":60000},
"tenants":[],
"ports":[{"vhost":"a.example","rules":[
{"name":"send","type":"mutating","public":true,"goal-ms":30000,"match":{"pfx":"/send/"},"action":{"svc":"s1","limit-ms":60000,"tries":3}}]}],
"pools":[{"name":"s1","check":"/healthz"}]}"#;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;
static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);
static PEAK_BYTES: AtomicUsize = AtomicUsize::new(0);
/// Held while a test measures, because the heap belongs to the whole process.
static MEASURING: Mutex<()> = Mutex::new(());

/// The size from which the system's allocator maps a block's pages separately.
const REMAPPED_BYTES: usize = 128 << 10;

struct CountingAllocator;

fn record_allocation(bytes: usize) {
    let live = LIVE_BYTES.fetch_add(bytes, Ordering::SeqCst) + bytes;
    PEAK_BYTES.fetch_max(live, Ordering::SeqCst);
}

// SAFETY: all calls are passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        record_allocation(layout.size());
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::SeqCst);
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        // The system moves large blocks by remapping their pages, so old and new are never both in memory.
        if layout.size() >= REMAPPED_BYTES {
            LIVE_BYTES.fetch_sub(layout.size(), Ordering::SeqCst);
            record_allocation(new_size);
        } else {
            record_allocation(new_size);
            LIVE_BYTES.fetch_sub(layout.size(), Ordering::SeqCst);
        }
        unsafe { System.realloc(pointer, layout, new_size) }
    }
}

/// Runs `body` while no other test measures. Returns its result, and the largest number of bytes that were on the heap
/// at the same time beyond those at the start.
pub(crate) fn measure_peak<T>(body: impl FnOnce() -> T) -> (T, usize) {
    let _guard = MEASURING.lock().unwrap_or_else(|e| e.into_inner());
    let before = LIVE_BYTES.load(Ordering::SeqCst);
    PEAK_BYTES.store(before, Ordering::SeqCst);
    let result = body();
    let peak = PEAK_BYTES.load(Ordering::SeqCst);
    (result, peak.saturating_sub(before))
}

/// A server that discards the bodies it receives and answers with a body of a given size.
pub(crate) struct MeasuredServer {
    address: SocketAddr,
    received: Arc<Mutex<Vec<usize>>>,
}

impl MeasuredServer {
    pub(crate) fn answering(body_bytes: usize) -> MeasuredServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let record = received.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let record = record.clone();
                thread::spawn(move || serve(stream, body_bytes, &record));
            }
        });
        MeasuredServer { address, received }
    }

    /// Returns the sizes of the bodies that arrived completely.
    pub(crate) fn received_bodies(&self) -> Vec<usize> {
        self.received.lock().unwrap().clone()
    }
}

/// Answers requests until the connection ends.
fn serve(mut stream: TcpStream, body_bytes: usize, received: &Mutex<Vec<usize>>) -> io::Result<()> {
    loop {
        let head = read_head(&mut stream)?;
        if head.starts_with("GET /healthz") {
            stream.write_all(b"HTTP/1.1 200 OK\r\nServer-Id: i-0\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let length = field(&head, "Content-Length").map_or(0, |text| text.parse().unwrap());
        discard(&mut stream, length)?;
        received.lock().unwrap().push(length);
        let try_id = field(&head, "Try-Id").unwrap_or("");
        let head = format!(
            "HTTP/1.1 200 OK\r\nTry-Id: {try_id}\r\nSeal: 1\r\nContent-Length: {body_bytes}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        send_body(&mut stream, body_bytes)?;
    }
}

/// A proxy that accepts clients, in front of one server.
pub(crate) struct Front {
    address: SocketAddr,
    pub(crate) server: MeasuredServer,
    state: Arc<ProxyState>,
}

impl Front {
    pub(crate) fn start(server: MeasuredServer) -> Front {
        let caps = format!("\"mem-mb\":{MEMORY_LIMIT_MB},\"nofile\":4100");
        let state = proxy_with_caps(&caps, "\"retry-slack\":100", CONFIG, &[server.address]);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = state.clone();
        thread::spawn(move || listener::accept(&accepting, listener));
        Front {
            address,
            server,
            state,
        }
    }

    /// Waits until the memory for requests is in use to at least `bytes`.
    pub(crate) fn await_used_memory(&self, bytes: usize) {
        while self.state.memory.requests.used_bytes() < bytes {
            thread::yield_now();
        }
    }
}

/// The body of a request.
#[derive(Clone, Copy)]
pub(crate) enum Upload {
    WithLength(usize),
    Chunked(usize),
}

/// A client that discards the bodies of its responses.
pub(crate) struct Client {
    stream: TcpStream,
}

impl Client {
    pub(crate) fn connect(front: &Front) -> Client {
        let stream = TcpStream::connect(front.address).unwrap();
        stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        Client { stream }
    }

    /// Sends a request and returns the status of the response, which may arrive before the body has been sent.
    pub(crate) fn post(&mut self, try_id: &str, upload: Upload) -> u16 {
        let framing = match upload {
            Upload::WithLength(bytes) => format!("Content-Length: {bytes}"),
            Upload::Chunked(_) => "Transfer-Encoding: chunked".to_string(),
        };
        self.send_head(try_id, &framing);
        let sent = match upload {
            Upload::WithLength(bytes) => send_body(&mut self.stream, bytes),
            Upload::Chunked(bytes) => send_chunks(&mut self.stream, bytes),
        };
        // A refused body is not read to its end.
        assert!(
            sent.is_ok() || sent.is_err_and(|e| e.kind() != ErrorKind::WouldBlock),
            "the proxy does not read the body"
        );
        self.read_response()
    }

    /// Sends the head of a request with a body that does not follow.
    pub(crate) fn begin_post(&mut self, try_id: &str, body_bytes: usize) {
        self.send_head(try_id, &format!("Content-Length: {body_bytes}"));
    }

    fn send_head(&mut self, try_id: &str, framing: &str) {
        let head = format!(
            "POST /send/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: {try_id}\r\nBudget-Ms: 50000\r\n{framing}\r\n\r\n"
        );
        self.stream.write_all(head.as_bytes()).unwrap();
    }

    /// Reads a response and returns its status.
    fn read_response(&mut self) -> u16 {
        let head = read_head(&mut self.stream).unwrap();
        let length = field(&head, "Content-Length").unwrap().parse().unwrap();
        discard(&mut self.stream, length).unwrap();
        head.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

fn send_body(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let mut remaining = bytes;
    while remaining > 0 {
        let size = remaining.min(PIECE.len());
        stream.write_all(&PIECE[..size])?;
        remaining -= size;
    }
    Ok(())
}

fn send_chunks(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let mut remaining = bytes;
    while remaining > 0 {
        let size = remaining.min(PIECE.len());
        stream.write_all(format!("{size:x}\r\n").as_bytes())?;
        stream.write_all(&PIECE[..size])?;
        stream.write_all(b"\r\n")?;
        remaining -= size;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Reads a head one byte at a time, so that nothing behind it is read.
fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

fn field<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
}

fn discard(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let mut buffer = [0; 16 << 10];
    let mut remaining = bytes;
    while remaining > 0 {
        let size = remaining.min(buffer.len());
        stream.read_exact(&mut buffer[..size])?;
        remaining -= size;
    }
    Ok(())
}
