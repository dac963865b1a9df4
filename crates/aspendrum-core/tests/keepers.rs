//! Fleets of decision modules that hear each other's datagrams, without the bench and without sockets: a
//! customer's count kept by one limiter of its set.

mod common;

use aspendrum_core::api::*;
use aspendrum_core::control::Control;
use test_case::test_case;

const SERVERS: u32 = 40;

/// Limiters on one clock, and what is on its way between them.
struct Fleet {
    now: Ms,
    settings: Settings,
    limiters: Vec<Option<Control>>,
    mail: Vec<(usize, usize, Vec<u8>)>,
    /// Every so many datagrams one is lost; 0: none.
    lose: usize,
    said: usize,
    granted: Vec<QueryId>,
    sent: Vec<ServerId>,
    shed: Vec<QueryId>,
    open: Vec<(usize, QueryId, ServerId)>,
}

fn settings(limiters: u32, counter: bool, ceiling: f64) -> Settings {
    let base = common::settings(Semantics::Repeatable, RepeatGroup::All);
    let (ceiling_rate, ceiling_burst) = (2.0 * ceiling, 6.0 * ceiling);
    let plan = Plan { burst: 6.0, ceiling_rate, ceiling_burst, ..base.plans[0].clone() };
    Settings {
        instances: limiters,
        tick: 1.0,
        plans: vec![plan],
        load_values: vec![],
        reports: ReportsVia::Nothing,
        may_probe: false,
        may_tell: true,
        retry_after: false,
        max_retry_after: 0.0,
        counter,
        units_top: 2.0,
        peer_in_per_s: 60.0,
        ..base
    }
}

impl Fleet {
    fn of(settings: Settings) -> Fleet {
        let (mail, granted, sent, shed, open) = Default::default();
        let mut limiters = Vec::new();
        limiters.resize_with(settings.instances as usize, || None);
        let (now, lose, said) = (100_000.0, 0, 0);
        let mut fleet = Fleet { now, settings, limiters, mail, lose, said, granted, sent, shed, open };
        (0..fleet.limiters.len()).for_each(|me| fleet.start(me));
        fleet
    }

    /// Starts it, or starts it again from nothing.
    fn start(&mut self, me: usize) {
        let s = Settings { me: me as u32, ..self.settings.clone() };
        self.limiters[me] = Some(Control::new(self.now, 7 + me as u64, &s, &mut Vec::new()));
        let member = |server| Member {
            server,
            health: Health::Ready,
            cell: 0,
            zone: 0,
            size: 1.0,
            kind: 0,
            started: 0.0,
        };
        let entries: Vec<Member> = (1..=SERVERS).map(member).collect();
        self.tell(me, &Event::Members { list: ListKind::Cached, version: 1, entries: &entries });
    }

    fn tell(&mut self, me: usize, event: &Event) {
        let mut out = Vec::new();
        let Some(control) = &mut self.limiters[me] else { return };
        control.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Forward { id, server, .. } => {
                    self.granted.push(id);
                    self.sent.push(server);
                    self.open.push((me, id, server));
                }
                Action::Shed { id, .. } => self.shed.push(id),
                Action::Tell { to: Some(to), data } => {
                    self.said += 1;
                    if self.lose == 0 || !self.said.is_multiple_of(self.lose) {
                        self.mail.push((me, to as usize, data));
                    }
                }
                _ => {}
            }
        }
    }

    /// Five milliseconds: datagrams arrive, forwards are answered, beats go by.
    fn step(&mut self) {
        self.now += 5.0;
        for (from, to, data) in std::mem::take(&mut self.mail) {
            self.tell(to, &Event::PeerSaid { from: from as u16, data: &data });
        }
        for (me, id, server) in std::mem::take(&mut self.open) {
            self.tell(
                me,
                &Event::ForwardEnded {
                    id,
                    forward: 0,
                    server,
                    outcome: Outcome::Ok,
                    rtt: 5.0,
                    over: true,
                    used: 0,
                    actual: 0,
                    load: Load::default(),
                },
            );
        }
        (0..self.limiters.len()).for_each(|me| self.tell(me, &Event::Timer { token: 0 }));
    }

    fn wait(&mut self, ms: Ms) {
        (0..(ms / 5.0) as u32).for_each(|_| self.step());
    }

    fn ask(&mut self, me: usize, id: QueryId, acct: AcctId) {
        let spread = self.limiters.len() as f32;
        self.tell(
            me,
            &Event::Query(NewQuery {
                id,
                group: 0,
                until: self.now + 3000.0,
                acct,
                plan: 0,
                spread,
                units: 1.0,
                first: 0.0,
                client_repeat: false,
                write: false,
            }),
        );
    }

    /// Customer 5 asks `n` times, `ms` apart, through each limiter in turn.
    fn ask_in_turn(&mut self, from: QueryId, n: u64, ms: Ms) {
        for id in from..from + n {
            let me = id as usize % self.limiters.len();
            if self.limiters[me].is_some() {
                self.ask(me, id, 5);
            }
            self.wait(ms);
        }
        self.wait(500.0);
    }
}

/// Forty limiters that each see a customer once in seconds granted each their first query: 40 units where the
/// quota had 6 and 2 a second. What one limiter grants the others must know, though the counter says nothing
/// and though datagrams get lost.
#[test_case(false, 0 ; "no counter")]
#[test_case(true, 0 ; "a counter that never answers")]
#[test_case(false, 7 ; "one datagram in seven is lost")]
fn all_limiters_together_grant_the_quota_and_no_more(counter: bool, lose: usize) {
    let mut fleet = Fleet::of(settings(40, counter, 0.0));
    fleet.lose = lose;
    fleet.ask_in_turn(0, 80, 50.0);
    // 6 at once, and 2 a second for 4 s.
    let granted = fleet.granted.len();
    let slack = if lose > 0 { 3 } else { 1 };
    assert!((13..=14 + slack).contains(&granted), "{granted} granted");
    assert_eq!(granted + fleet.shed.len(), 80, "each query has one answer");
}

/// A killed keeper answers nobody: its customers' queries are decided all the same, by the next keeper, at
/// most one more burst goes out, and once it is back it takes over again.
#[test]
fn a_killed_keeper_costs_a_burst_at_most() {
    let mut fleet = Fleet::of(settings(40, false, 0.0));
    fleet.ask_in_turn(0, 40, 50.0);
    let before = fleet.granted.len();
    // Whoever was told most of all is the keeper; it is found by killing one after another, each for a
    // second.
    for me in 0..40 {
        fleet.limiters[me] = None;
        fleet.ask_in_turn(100 + 10 * me as u64, 10, 50.0);
        fleet.start(me);
    }
    let (granted, answered) = (fleet.granted.len(), fleet.granted.len() + fleet.shed.len());
    // 40 times a second with 2 units, three keepers with a burst each, before and after.
    let most = before + 80 + 6 * 6 + 4;
    assert!(granted > before + 60 && granted <= most, "{granted} of {most}");
    // One query in ten at the most met the killed limiter itself.
    assert!(answered >= 40 + 360, "{answered} answered");
}

/// Rule 5: all traffic through one limiter got its even part, a fortieth, of a ceiling that the customer did
/// not come near; and no restart of any limiter, the keeper's neither, hands out a part anew.
#[test]
fn a_ceiling_goes_where_the_traffic_is_and_holds_through_restarts() {
    let mut fleet = Fleet::of(settings(40, false, 1.5));
    let begun = fleet.now;
    for id in 0..60 {
        fleet.ask(3, id, 5);
        fleet.wait(50.0);
    }
    let uneven = fleet.granted.len();
    // The keeper's part fills from nothing with 0.54 of 3 a second; the even one with less than a tenth.
    assert!(uneven >= 3, "{uneven} granted in 3 s");
    for id in 0..400u64 {
        if id % 10 == 0 {
            fleet.start(id as usize / 10);
        }
        fleet.ask((id * 7 % 40) as usize, 1000 + id, 5);
        fleet.wait(25.0);
    }
    let ceiling = 9.0 + 3.0 * (fleet.now - begun) / 1000.0;
    assert!((fleet.granted.len() as f64) <= ceiling, "{} of {ceiling}", fleet.granted.len());
}

/// A customer's part of a ceiling filled only from its first query on, which was refused for that: with
/// hundreds of limiters many customers' first query of the day. It fills from the limiter's start.
#[test]
fn a_part_of_a_ceiling_fills_from_the_limiters_start() {
    let mut fleet = Fleet::of(settings(40, false, 1.5));
    fleet.wait(5000.0);
    fleet.ask_in_turn(0, 2, 5.0);
    assert_eq!(fleet.granted.len(), 2, "2.7 units have come together in the keeper's part");
    (0..40).for_each(|me| fleet.start(me));
    fleet.ask_in_turn(100, 40, 5.0);
    assert!(fleet.granted.len() <= 3, "{} granted from parts that start with nothing", fleet.granted.len());
}

/// Datagrams that no limiter writes: cut short, too long, of unknown kinds, absurd, from nobody, or naming a
/// customer with another plan. None may panic, be answered, or take anything from a real customer.
#[test_case(&[] ; "empty")]
#[test_case(&[9; 17] ; "unknown kind")]
#[test_case(&[1, 0, 1, 0, 0, 0, 0, 5, 0, 0, 0, 0, 40, 0x3f, 0x80, 0] ; "one byte short")]
#[test_case(&[1, 0, 1, 0, 0, 0, 0, 5, 0, 0, 0, 0, 40, 0x3f, 0x80, 0, 0, 0] ; "one byte long")]
#[test_case(&[1, 0, 1, 0, 0, 0, 0, 5, 0, 0, 0, 0, 40, 0x7f, 0xc0, 0, 0] ; "units not a number")]
#[test_case(&[1, 0, 1, 0, 0, 0, 0, 5, 0, 0, 0, 0, 40, 0x7f, 0x80, 0, 0] ; "units without end")]
#[test_case(&[1, 0, 1, 0, 0, 0, 0, 5, 0, 0, 0, 0, 40, 0xbf, 0x80, 0, 0] ; "units below nothing")]
#[test_case(&[4, 0, 0, 0, 0, 0, 0, 5, 0, 0, 0, 0, 40, 0x47, 0, 0, 0] ; "more given back than one query takes")]
#[test_case(&[1, 0, 1, 0, 0, 0, 0, 5, 7, 0, 0, 0, 40, 0x3f, 0x80, 0, 0] ; "a plan that is not there")]
#[test_case(&[1, 0, 1, 0, 0, 0, 0, 5, 0, 0, 0, 0, 0, 0x3f, 0x80, 0, 0] ; "a set of nobody")]
#[test_case(&[3, 0, 1, 2, 0, 0] ; "neither granted nor refused")]
#[test_case(&[3, 0, 1, 1, 0, 0] ; "an answer that nobody asked for")]
fn datagrams_that_make_no_sense_change_nothing(data: &[u8]) {
    let mut fleet = Fleet::of(settings(40, false, 0.0));
    for _ in 0..50 {
        for me in 0..40 {
            fleet.tell(me, &Event::PeerSaid { from: 3, data });
            fleet.tell(me, &Event::PeerSaid { from: 40_000, data });
        }
        fleet.step();
    }
    assert_eq!(fleet.said, 0);
    fleet.ask_in_turn(0, 10, 5.0);
    assert_eq!(fleet.granted.len(), 6, "the customer's burst is untouched");
}

/// A question that came twice is one question: its units are taken once, and the second is answered as the
/// first.
#[test]
fn a_question_asked_twice_takes_its_units_once() {
    let mut fleet = Fleet::of(settings(40, false, 0.0));
    let ask = [1, 0, 1, 0, 0, 0, 0, 5, 0, 0, 0, 0, 40, 0x3f, 0x80, 0, 0];
    for _ in 0..20 {
        fleet.tell(8, &Event::PeerSaid { from: 3, data: &ask });
        assert_eq!(fleet.mail.pop(), Some((8, 3, vec![3, 0, 1, 1, 0, 0])));
    }
    let other = [1, 0, 2, 0, 0, 0, 0, 5, 0, 0, 0, 0, 40, 0x3f, 0x80, 0, 0];
    fleet.tell(8, &Event::PeerSaid { from: 3, data: &other });
    assert_eq!(fleet.mail.pop(), Some((8, 3, vec![3, 0, 2, 1, 0, 0])));
}

/// A few limiters that see their customers often need no keeper, and where datagrams are not allowed none is
/// sent.
#[test_case(4, true ; "a small fleet")]
#[test_case(40, false ; "datagrams not allowed")]
fn no_datagrams_where_there_is_no_need_or_no_leave(limiters: u32, may_tell: bool) {
    let mut fleet = Fleet::of(Settings { may_tell, ..settings(limiters, false, 0.0) });
    fleet.ask_in_turn(0, 40, 20.0);
    assert_eq!(fleet.said, 0);
    assert!(!fleet.granted.is_empty());
}

/// Rule 3 over a whole fleet: six in ten servers are told to drain, in steps, while every limiter has queries in
/// hand, some still waiting for a keeper's word. None goes to a server that its limiter was told of, and the new
/// ones are used.
#[test]
fn six_in_ten_servers_replaced_get_nothing_new_from_any_limiter() {
    let mut fleet = Fleet::of(settings(40, false, 0.0));
    let mut id = 0;
    for gone in (0..=24u32).step_by(4) {
        let health = |s| if s <= gone { Health::Draining } else { Health::Ready };
        let member = |server, health, started| Member {
            server,
            health,
            cell: 0,
            zone: 0,
            size: 1.0,
            kind: 0,
            started,
        };
        let old = (1..=SERVERS).map(|s| member(s, health(s), 0.0));
        let entries: Vec<Member> =
            old.chain((1..=gone).map(|s| member(100 + s, Health::Ready, fleet.now))).collect();
        (0..40).for_each(|me| {
            fleet.tell(me, &Event::Members { list: ListKind::Full, version: 2 + gone, entries: &entries });
        });
        fleet.sent.clear();
        for _ in 0..300 {
            id += 1;
            fleet.ask((id * 7 % 40) as usize, id, 1000 + id);
            fleet.step();
        }
        assert!(fleet.sent.len() >= 250, "{} sent", fleet.sent.len());
        let wrong = fleet.sent.iter().filter(|s| **s <= gone).count();
        assert_eq!(wrong, 0, "to servers that drain, with {gone} of {SERVERS} replaced");
    }
    assert!(fleet.sent.iter().any(|s| *s > 100), "the new servers are used");
}
