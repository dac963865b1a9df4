//! The memory that a proxy holds for the messages of its peers, compared with `mem-mb` of its settings. The process of
//! these tests counts the bytes on its heap, which include those of the test's own clients and servers.

mod common;
mod memory;

use memory::{
    measure_peak, Client, Front, MeasuredServer, Upload, BODY_LIMIT_BYTES, LARGE_BODY_BYTES,
    LARGE_RESPONSE_BYTES, MEMORY_LIMIT_BYTES, SMALL_BODY_BYTES,
};
use std::thread;

/// The number of clients that send or receive large bodies at the same time.
const CLIENTS: usize = 6;

/// Sends the same upload from all clients at once and returns the statuses of the responses.
fn upload_at_once(front: &Front, upload: Upload) -> Vec<u16> {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = Client::connect(front);
            thread::spawn(move || client.post(&format!("t{number}"), upload))
        })
        .collect();
    let statuses = clients.into_iter().map(|client| client.join().unwrap());
    statuses.collect()
}

/// Checks that every request was answered: completed, or refused with a promise that it did not run.
fn assert_served_or_refused(statuses: &[u16]) {
    assert!(
        statuses.iter().all(|status| matches!(status, 200 | 503)),
        "{statuses:?}"
    );
    assert!(statuses.contains(&200), "{statuses:?}");
}

/// Guards against a proxy that is killed for its memory: bodies within `body-bytes`, several at once, were each held
/// up to four times.
#[test]
fn request_bodies_keep_the_process_within_its_memory() {
    let (statuses, peak) = measure_peak(|| {
        let front = Front::start(MeasuredServer::answering(4));
        let statuses = upload_at_once(&front, Upload::WithLength(LARGE_BODY_BYTES));
        assert_eq!(
            front.server.received_bodies(),
            vec![LARGE_BODY_BYTES; statuses.iter().filter(|status| **status == 200).count()]
        );
        statuses
    });
    assert_served_or_refused(&statuses);
    assert!(peak <= MEMORY_LIMIT_BYTES, "{peak} bytes on the heap");
}

/// Guards against a chunked body that was copied whole at each read, and whose connection was closed without an answer
/// if the body was just within `body-bytes`.
#[test]
fn chunked_request_bodies_keep_the_process_within_its_memory() {
    let (statuses, peak) = measure_peak(|| {
        let front = Front::start(MeasuredServer::answering(4));
        upload_at_once(&front, Upload::Chunked(BODY_LIMIT_BYTES))
    });
    assert_served_or_refused(&statuses);
    assert!(peak <= MEMORY_LIMIT_BYTES, "{peak} bytes on the heap");
}

/// Guards against small requests that wait behind large ones which hold all the memory for requests.
#[test]
fn a_small_request_is_served_while_large_ones_hold_the_memory() {
    let (statuses, _) = measure_peak(|| {
        let front = Front::start(MeasuredServer::answering(4));
        // The first takes the memory for large requests and does not send the rest of its body.
        let mut holder = Client::connect(&front);
        holder.begin_post("t0", BODY_LIMIT_BYTES);
        front.await_used_memory(BODY_LIMIT_BYTES);
        let refused = Client::connect(&front).post("t1", Upload::WithLength(LARGE_BODY_BYTES));
        let served = Client::connect(&front).post("t2", Upload::WithLength(SMALL_BODY_BYTES));
        [refused, served]
    });
    assert_eq!(statuses, [503, 200]);
}

/// Guards against responses that take the memory of the process: each was held up to three times, several at once.
#[test]
fn response_bodies_keep_the_process_within_its_memory() {
    let (statuses, peak) = measure_peak(|| {
        let front = Front::start(MeasuredServer::answering(LARGE_RESPONSE_BYTES));
        upload_at_once(&front, Upload::WithLength(4))
    });
    // Responses wait for each other. A server has run the request, so none is refused with a promise.
    assert_eq!(statuses, [200; CLIENTS]);
    assert!(peak <= MEMORY_LIMIT_BYTES, "{peak} bytes on the heap");
}

/// Guards against a response that fits no budget: its client is answered, and the next request is served.
#[test]
fn a_response_beyond_the_memory_is_answered_as_a_failure() {
    let (statuses, peak) = measure_peak(|| {
        let front = Front::start(MeasuredServer::answering(MEMORY_LIMIT_BYTES));
        let mut client = Client::connect(&front);
        [
            client.post("t0", Upload::WithLength(4)),
            client.post("t1", Upload::WithLength(4)),
        ]
    });
    assert_eq!(statuses, [502, 502]);
    assert!(peak <= MEMORY_LIMIT_BYTES, "{peak} bytes on the heap");
}
