//! Checks the encoding of each record type against the bytes in `fixtures/frames.txt`.

use aspendrum_core::api::{
    Action, Event, Health, ListKind, LoadReport, NewRequest, Outcome, ServerEntry, ZoneSet,
};
use aspendrum_simulator_adapter::batch::{Batch, Record};
use aspendrum_simulator_adapter::reply::Reply;
use test_case::test_case;

const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
const CLOCK_S: f64 = 8.412_25;
const ID: u64 = 0x1122_3344_5566_7788;
const NUMBER: u32 = 0x1122_3344;
const SETTINGS: &str = include_str!("../../aspendrum-core/tests/fixtures/settings.txt");

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    digits
        .chunks(2)
        .map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap())
        .collect()
}

/// Returns a record of the fixture, zero-padded to `size`, and its tail.
fn fixture(name: &str, size: usize) -> (Vec<u8>, Vec<u8>) {
    let text = include_str!("fixtures/frames.txt");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(" = "));
    let line = line.unwrap_or_else(|| panic!("no fixture {name}"));
    let line = line.replace("SIZE", &format!("{:08x}", SETTINGS.len()));
    let (record, tail) = line.split_once('|').unwrap();
    let tail = if tail.trim() == "SETTINGS" {
        SETTINGS.into()
    } else {
        bytes(tail)
    };
    let mut record = bytes(record);
    record.resize(size, 0);
    (record, tail)
}

fn frame(name: &str) -> Vec<u8> {
    let (record, tail) = fixture(name, EVENT_BYTES);
    let mut out = 1_u32.to_be_bytes().to_vec();
    out.extend(((16 + record.len() + tail.len()) as u32).to_be_bytes());
    out.extend(CLOCK_S.to_be_bytes());
    out.extend(record);
    out.extend(tail);
    out
}

const LOAD_OF_FOUR: LoadReport = LoadReport {
    count: 4,
    values: [0.5, 0.25, 0.125, 0.0625],
};
const LOAD_OF_TWO: LoadReport = LoadReport {
    count: 2,
    values: [0.5, 0.25, 0.0, 0.0],
};

fn request() -> NewRequest {
    NewRequest {
        id: ID,
        group: 0x102,
        deadline: 8652.25,
        tenant: 0x99aa_bbcc,
        plan: NUMBER,
        instances: 3.0,
        units: 1.5,
        first_instance: 5.0,
        is_client_retry: true,
        is_write: true,
        pool: 0,
        allowed_zones: ZoneSet::ALL,
        max_attempts: u8::MAX,
    }
}

fn attempt_ended() -> Event<'static> {
    Event::AttemptEnded {
        id: ID,
        attempt: 9,
        server: NUMBER,
        outcome: Outcome::Cancelled,
        rtt: 18.5,
        is_final: true,
        metered_usage: 0x102,
        actual_units: 0x304,
        load: LOAD_OF_TWO,
    }
}

fn server_entries() -> [ServerEntry; 3] {
    let common = ServerEntry {
        server: 1,
        pool: 0,
        health: Health::Removed,
        cell: 0x102,
        zone: 3,
        distance_cost: 0.0,
        capacity: 1.5,
        kind: 4,
        started_at: 6100.0,
    };
    [
        common,
        ServerEntry {
            server: 2,
            health: Health::Ready,
            cell: 0x506,
            zone: 7,
            capacity: 0.5,
            kind: 8,
            started_at: 0.0,
            ..common
        },
        ServerEntry {
            server: 3,
            health: Health::Draining,
            cell: 0x90a,
            zone: 11,
            capacity: 2.0,
            kind: 12,
            started_at: 1000.0,
            ..common
        },
    ]
}

#[test_case("probed", Event::ProbeEnded { server: NUMBER, outcome: Outcome::TimedOut, rtt: 1.0, load: LOAD_OF_FOUR } ; "probe ended")]
#[test_case("timer", Event::Timer { token: NUMBER } ; "timer")]
#[test_case("members", Event::ServerList { list: ListKind::Full, version: NUMBER, entries: &server_entries() } ; "server list")]
#[test_case("client_left", Event::ClientDisconnected { id: ID } ; "client disconnected")]
#[test_case("counted", Event::CounterReplied { name: ID, outcome: Outcome::Rejected, total: 38.0, rtt: 2.15 } ; "counter replied")]
#[test_case("query", Event::Request(request()) ; "request")]
#[test_case("peer", Event::DatagramReceived { from: 0x102, data: &[1, 2, 3] } ; "datagram")]
#[test_case("ended", attempt_ended() ; "attempt ended")]
#[test_case("stream", Event::StreamStarted { id: ID, attempt: 9, server: NUMBER, rtt: 18.5 } ; "stream started")]
fn each_event_is_decoded_from_the_pinned_bytes(name: &str, expected: Event<'_>) {
    let frame = frame(name);
    let (batch, mut servers) = (Batch::open(&frame).unwrap(), Vec::new());
    assert_eq!((batch.now(), batch.count()), (8412.25, 1));
    let Record::Event(event) = batch.record(0, &mut servers).unwrap() else {
        panic!("not an event")
    };
    assert_eq!(event, expected);
}

#[test]
fn an_instance_selection_is_decoded_from_the_pinned_bytes() {
    let frame = frame("on");
    let (batch, mut servers) = (Batch::open(&frame).unwrap(), Vec::new());
    assert!(matches!(
        batch.record(0, &mut servers),
        Ok(Record::SelectInstance(NUMBER))
    ));
}

#[test]
fn a_start_contains_the_seed_and_the_settings() {
    let frame = frame("begin");
    let (batch, mut servers) = (Batch::open(&frame).unwrap(), Vec::new());
    let Ok(Record::Start(seed, settings)) = batch.record(0, &mut servers) else {
        panic!("not a start")
    };
    assert_eq!(seed, ID);
    assert_eq!(Ok(*settings), aspendrum_core::settings::parse(SETTINGS));
}

#[test]
fn a_stop_is_decoded_from_the_pinned_bytes() {
    let frame = frame("stop");
    let (batch, mut servers) = (Batch::open(&frame).unwrap(), Vec::new());
    assert!(matches!(batch.record(0, &mut servers), Ok(Record::Stop)));
}

#[test_case(0, Outcome::Error)]
#[test_case(1, Outcome::Ok)]
#[test_case(2, Outcome::Rejected)]
#[test_case(3, Outcome::TimedOut)]
#[test_case(4, Outcome::ConnectFailed)]
#[test_case(5, Outcome::Reset)]
#[test_case(6, Outcome::Cancelled)]
#[test_case(7, Outcome::NotSent)]
fn each_outcome_has_its_code(code: u8, expected: Outcome) {
    let mut frame = frame("counted");
    frame[16 + 10] = code;
    let (batch, mut servers) = (Batch::open(&frame).unwrap(), Vec::new());
    let Ok(Record::Event(Event::CounterReplied { outcome, .. })) = batch.record(0, &mut servers)
    else {
        panic!("not a counter reply")
    };
    assert_eq!(outcome, expected);
}

#[test_case(0, ListKind::Delta)]
#[test_case(1, ListKind::Full)]
#[test_case(2, ListKind::Cached)]
#[test_case(3, ListKind::Failed)]
fn each_list_kind_has_its_code(code: u8, expected: ListKind) {
    let mut frame = frame("members");
    frame[16 + 1] = code;
    let (batch, mut servers) = (Batch::open(&frame).unwrap(), Vec::new());
    let Ok(Record::Event(Event::ServerList { list, .. })) = batch.record(0, &mut servers) else {
        panic!("not a list")
    };
    assert_eq!(list, expected);
}

#[test_case(0, false, false)]
#[test_case(1, false, false)]
#[test_case(2, true, false)]
#[test_case(4, false, true)]
fn request_flags_are_bits(flags: u8, is_client_retry: bool, is_write: bool) {
    let mut frame = frame("query");
    frame[16 + 43] = flags;
    let (batch, mut servers) = (Batch::open(&frame).unwrap(), Vec::new());
    let Ok(Record::Event(Event::Request(request))) = batch.record(0, &mut servers) else {
        panic!("not a request")
    };
    assert_eq!(
        (request.is_client_retry, request.is_write),
        (is_client_retry, is_write)
    );
}

#[test_case("tell", Action::SendDatagram { to: Some(0x5566_7788), data: vec![1, 2, 3] } ; "send datagram")]
#[test_case("tell_all", Action::SendDatagram { to: None, data: vec![4, 5] } ; "broadcast datagram")]
#[test_case("cancel", Action::Cancel { id: ID, attempt: 9 } ; "cancel")]
#[test_case("forward", Action::Forward { id: ID, server: 0x5566_7788, timeout: 80.0 } ; "forward")]
#[test_case("count", Action::AddToCounter { name: ID, units: 4.0, ttl: 3000.0 } ; "add to counter")]
#[test_case("close", Action::CloseConnections { server: NUMBER } ; "close connections")]
#[test_case("fetch", Action::FetchServers ; "fetch servers")]
#[test_case("defer", Action::Timer { token: NUMBER, wait: 500.0 } ; "timer")]
#[test_case("probe", Action::Probe { server: NUMBER } ; "probe")]
#[test_case("fault", Action::Fault("fault".into()) ; "fault")]
#[test_case("drop", Action::Drop { id: ID } ; "drop")]
#[test_case("shed", Action::Shed { id: ID, retry_after: 500.0, beyond_quota: true } ; "shed")]
#[test_case("watch", Action::WatchServers { on: true } ; "watch servers")]
#[test_case("unwatch", Action::WatchServers { on: false } ; "unwatch servers")]
#[test_case("log", Action::Log("log".into()) ; "log")]
fn each_action_is_encoded_as_the_pinned_bytes(name: &str, action: Action) {
    let mut out = Vec::new();
    let mut reply = Reply::new(&mut out);
    reply.add(NUMBER, &mut vec![action]);
    reply.finish().unwrap();
    let (instance, _) = fixture("instance", ACTION_BYTES);
    let (record, tail) = fixture(name, ACTION_BYTES);
    let mut expected = 2_u32.to_be_bytes().to_vec();
    expected.extend(((8 + 2 * ACTION_BYTES + tail.len()) as u32).to_be_bytes());
    expected.extend(instance);
    expected.extend(record);
    expected.extend(tail);
    assert_eq!(out, expected);
}

/// Consecutive actions of an instance share one selection record, and the tail follows all records.
#[test]
fn actions_of_two_instances_share_a_reply() {
    let mut out = Vec::new();
    let mut reply = Reply::new(&mut out);
    reply.add(1, &mut vec![Action::Log("ab".into()), Action::FetchServers]);
    reply.add(1, &mut vec![Action::Log("c".into())]);
    reply.add(2, &mut vec![Action::FetchServers]);
    reply.finish().unwrap();
    let records = [
        "4e 00000001",
        "4d 00000000 00000002",
        "46",
        "4d 00000002 00000001",
        "4e 00000002",
        "46",
    ];
    let mut expected = bytes("00000006 0000009b");
    for record in records {
        let mut record = bytes(record);
        record.resize(ACTION_BYTES, 0);
        expected.extend(record);
    }
    expected.extend(b"abc");
    assert_eq!(out, expected);
}
