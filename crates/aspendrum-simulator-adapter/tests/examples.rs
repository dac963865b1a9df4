//! Decodes and encodes example frames, and rejects one invalid frame of each kind.

use aspendrum_core::api::{Action, Event, ListKind};
use aspendrum_core::settings;
use aspendrum_simulator_adapter::adapter::Adapter;
use aspendrum_simulator_adapter::batch::{Batch, Record};
use aspendrum_simulator_adapter::reply::Reply;
use test_case::test_case;

const CLOCK: &str = "4020d3126e978d50";
const SETTINGS: &str =
    "Clients.MarksRetry=true\nDiscovery=push\nFeedback.Names=cpu_share\nFeedback.Via=inline\n\
Instances=3\nInvariants.DrainGraceS=0.25\nInvariants.FallMultiple=4.0\nInvariants.FallS=3.0\n\
Invariants.GraceToAnswerS=0.016\nInvariants.RampTimeS=14.0\nInvariants.StartCapacity=0.24\n\
Limits.Cancelling=true\nLimits.MayTell=false\nLimits.Probes=true\nLimits.RetryAfter=false\n\
Limits.SecondCopies=true\nLimits.SendCap=5\nMe=0\nProfiles.count=1\nProfiles.0.AimS=0.5\n\
Profiles.0.Credit=1.0\nProfiles.0.HardLimitS=1.5\nProfiles.0.Semantics=retryable\nProfiles.0.Stream=false\n\
Specifics.CostAfter=false\nSpecifics.CountWaitS=0.05\nSpecifics.Counter=true\nSpecifics.UnitsTop=1\n\
TickS=0.004\nTiersOfService.count=1\nTiersOfService.0.Concurrency=0\nTiersOfService.0.Depth=2.0\n\
TiersOfService.0.NeverOverDepth=0.0\nTiersOfService.0.NeverOverRate=0.0\nTiersOfService.0.CapSlack=0.0\n\
TiersOfService.0.PerSecond=0.63\nTiersOfService.0.WorthFactor=0.8\nZone=1\nSomething.New=7\n";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    digits
        .chunks(2)
        .map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap())
        .collect()
}

fn frame(records: &[&str], tail: &[u8]) -> Vec<u8> {
    let mut out = (records.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&((16 + 48 * records.len() + tail.len()) as u32).to_be_bytes());
    out.extend_from_slice(&bytes(CLOCK));
    for record in records {
        let mut r = bytes(record);
        r.resize(48, 0);
        out.extend_from_slice(&r);
    }
    out.extend_from_slice(tail);
    out
}

fn start(adapter: &mut Adapter, extra: &[&str]) -> Result<Vec<u8>, String> {
    let first = format!("03 0000000000000007 00000000 {:08x}", SETTINGS.len());
    let mut records = vec!["08 00000003", first.as_str()];
    records.extend_from_slice(extra);
    let mut reply = Vec::new();
    adapter
        .process(&frame(&records, SETTINGS.as_bytes()), &mut reply)
        .map(|()| reply)
        .map_err(|error| error.to_string())
}

#[test_case("09 000d9f1c5d3a91c4 0000 40214df3b645a1cb 91f03b7c55d20a64 00000000 40400000 40000000 3f800000 01",
    "Request(NewRequest { id: 3834118869258692, group: 0, deadline: 8652.25" ; "new request")]
#[test_case("02 0000004d", "Timer { token: 77 }" ; "timer")]
#[test_case("06 000e6a560e6f2b19", "ClientDisconnected { id: 4057567515847449 }" ; "client disconnected")]
#[test_case("0b 000d9f1c5d3a91c4 00 03124a07 0001 3f92f1a9fbe76c8b 01 0056 0003 01 3f1eb852",
    "attempt: 0, server: 51530247, outcome: Ok, rtt: 18.5" ; "attempt ended")]
#[test_case("07 000000000089f690 0001 42180000 3f619ce075f6fd22",
    "CounterReplied { name: 9041552, outcome: Ok, total: 38.0, rtt: 2.15" ; "counter replied")]
#[test_case("01 03124a07 0004 3f92f1a9fbe76c8b", "ProbeEnded { server: 51530247, outcome: ConnectFailed" ; "probe ended")]
#[test_case("0c 000d9f1c5d3a91c4 02 03124a07 3f92f1a9fbe76c8b", "attempt: 2, server: 51530247" ; "stream started")]
fn example_events_are_decoded(record: &str, expected: &str) {
    let frame = frame(&[record], b"");
    let (batch, mut servers) = (Batch::open(&frame).unwrap(), Vec::new());
    assert_eq!(batch.now(), 8412.25);
    let Record::Event(event) = batch.record(0, &mut servers).unwrap() else {
        panic!("not an event")
    };
    assert!(format!("{event:?}").contains(expected), "{event:?}");
}

#[test]
fn an_example_server_list_is_decoded() {
    let tail = bytes(
        "03124a07 01 0000 00 3f800000 00 0000000000000000 2c9011f2 01 0000 01 3fc00000 00 4018666666666666",
    );
    let frame = frame(&["05 02 00000029 00000000 00000002"], &tail);
    let (batch, mut servers) = (Batch::open(&frame).unwrap(), Vec::new());
    match batch.record(0, &mut servers).unwrap() {
        Record::Event(Event::ServerList {
            list,
            version,
            entries,
        }) => {
            assert_eq!((list, version, entries.len()), (ListKind::Cached, 41, 2));
            assert_eq!(
                (entries[1].capacity, entries[1].started_at, entries[1].zone),
                (1.5, 6100.0, 1)
            );
        }
        _ => panic!("not a list"),
    }
}

#[test_case(Action::Forward { id: 0xd9f1c5d3a91c4, server: 0x3124a07, timeout: 80.0 },
    "43 000d9f1c5d3a91c4 03124a07 3fb47ae147ae147b 000000", "" ; "forward")]
#[test_case(Action::Timer { token: 77, wait: 500.0 }, "47 0000004d 3fe0000000000000 0000000000000000000000", "" ; "timer")]
#[test_case(Action::AddToCounter { name: 0x89f690, units: 4.0, ttl: 3000.0 },
    "44 40800000 4008000000000000 000000000089f690 000000", "" ; "add to counter")]
#[test_case(Action::Log("two servers known".into()),
    "4d 00000000 00000011 000000000000000000000000000000", "74776f2073657276657273206b6e6f776e" ; "log")]
#[test_case(Action::SendDatagram { to: None, data: b"hi 7".to_vec() },
    "41 ffffffff 00000000 00000004 0000000000000000000000", "68692037" ; "broadcast datagram")]
#[test_case(Action::Cancel { id: 5, attempt: 1 }, "42 0000000000000005 01 0000000000000000000000000000", "" ; "cancel")]
#[test_case(Action::Shed { id: 5, retry_after: 500.0, beyond_quota: false }, "4b 0000000000000005 3fe0000000000000 00000000000000", "" ; "shed")]
#[test_case(Action::Drop { id: 5 }, "4a 0000000000000005 000000000000000000000000000000", "" ; "drop")]
#[test_case(Action::Probe { server: 9 }, "48 00000009 00000000000000000000000000000000000000", "" ; "probe")]
#[test_case(Action::CloseConnections { server: 9 }, "45 00000009 00000000000000000000000000000000000000", "" ; "close connections")]
#[test_case(Action::WatchServers { on: true }, "4c 01 00000000000000000000000000000000000000000000", "" ; "watch servers")]
#[test_case(Action::FetchServers, "46 0000000000000000000000000000000000000000000000", "" ; "fetch servers")]
fn example_actions_are_encoded(action: Action, record: &str, tail: &str) {
    let mut out = Vec::new();
    let mut reply = Reply::new(&mut out);
    reply.add(3, &mut vec![action]);
    reply.finish().unwrap();
    let mut expected = bytes("00000002");
    expected.extend_from_slice(&((56 + tail.len() / 2) as u32).to_be_bytes());
    expected.extend(bytes("4e 00000003 00000000000000000000000000000000000000"));
    expected.extend(bytes(record));
    expected.extend(bytes(tail));
    assert_eq!(out, expected);
}

#[test]
fn an_empty_frame_gets_an_empty_reply() {
    let mut reply = vec![1, 2, 3];
    Adapter::default()
        .process(&frame(&[], b""), &mut reply)
        .unwrap();
    assert_eq!(reply, bytes("00000000 00000008"));
}

#[test]
fn an_instance_restarts_within_one_frame() {
    let mut adapter = Adapter::default();
    start(&mut adapter, &[]).unwrap();
    let restart = format!("03 0000000000000008 00000000 {:08x}", SETTINGS.len());
    let records = ["08 00000003", "04", restart.as_str()];
    let mut reply = Vec::new();
    adapter
        .process(&frame(&records, SETTINGS.as_bytes()), &mut reply)
        .unwrap();
    assert_eq!(reply[8], 78);
}

#[test_case("0d", "record 2: unknown event code 13" ; "event code")]
#[test_case("07 0000000000000001 0009", "record 2: unknown Rc 9" ; "outcome")]
#[test_case("07 0000000000000001 0001 7fc00000", "record 2: Level is not a finite number" ; "not a number")]
#[test_case("0a 0001 00000000 0fffffff", "record 2: tail reference 0+268435455 is out of bounds" ; "tail")]
#[test_case("05 02 00000001 00000000 ffffffff", "record 2: tail reference 0+4294967295 is out of bounds" ; "entries")]
#[test_case("05 07 00000001", "record 2: unknown Scope 7" ; "list kind")]
#[test_case("01 00000001 0001 0000000000000000 05", "record 2: Load with 5 values" ; "load")]
fn invalid_events_are_rejected(record: &str, text: &str) {
    assert_eq!(
        start(&mut Adapter::default(), &[record]),
        Err(text.to_string())
    );
}

#[test_case("00000000 0000", "short frame: 6 bytes" ; "short")]
#[test_case("00000000 00000014 4020d3126e978d50", "frame length 20 disagrees with the 16 bytes read" ; "length")]
#[test_case("00000002 00000010 4020d3126e978d50", "record count 2 does not fit a frame of 16 bytes" ; "count")]
#[test_case("00000000 00000010 7ff0000000000000", "clock is not a finite number" ; "clock")]
fn invalid_frames_are_rejected(hex: &str, text: &str) {
    let error = Adapter::default()
        .process(&bytes(hex), &mut Vec::new())
        .unwrap_err();
    assert_eq!(error.to_string(), text);
}

#[test]
fn an_event_for_an_unknown_instance_is_rejected() {
    let result = Adapter::default().process(
        &frame(&["08 00000004", "02 00000001"], b""),
        &mut Vec::new(),
    );
    assert_eq!(
        result.unwrap_err().to_string(),
        "record 1: On for no such instance: 4"
    );
}

#[test_case("Instances=3", "Instances=0", "setting Instances is absurd: 0" ; "zero instances")]
#[test_case("Specifics.CountWaitS=0.05", "X=1", "setting Specifics.CountWaitS is missing" ; "missing")]
#[test_case("TickS=0.004", "TickS=soon", "setting TickS is absurd: soon" ; "not a number")]
#[test_case("Semantics=retryable", "Semantics=odd", "setting Profiles.0.Semantics is absurd: odd" ; "word")]
fn invalid_settings_are_reported_by_name(from: &str, to: &str, text: &str) {
    assert_eq!(
        settings::parse(&SETTINGS.replace(from, to))
            .unwrap_err()
            .to_string(),
        text
    );
}

#[test]
fn unknown_settings_and_load_values_are_ignored() {
    let read = settings::parse(&SETTINGS.replace("Names=cpu_share", "Names=moon,pending")).unwrap();
    assert_eq!(
        (read.load_values.len(), read.counter_timeout, read.zone),
        (2, 50.0, 1)
    );
}
