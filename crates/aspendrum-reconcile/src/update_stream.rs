//! Flow control of the updates on one connection, from control to an agent or from an agent to its proxy.
//!
//! Each section of state is complete, and supersedes the one before of its kind. So at most one update of each kind is
//! unacknowledged, and the newest section replaces one that waits (the state-of-the-world variant of Envoy's xDS protocol
//! has the same rule). A receiver that is slow gets fewer updates, never older ones at the end, and what a connection
//! queues is bounded by one section of each kind.

use crate::majority_report::MajorityReport;
use aspendrum_model::message::{StateSection, SECTION_KINDS};
use aspendrum_model::servers::ServerInstance;
use aspendrum_model::time::Millis;

/// An update that stays unacknowledged for longer does not hold up the next one: its receiver may be of a version that
/// acknowledges late.
const ACKNOWLEDGEMENT_TIMEOUT: Millis = 1000.0;

/// The updates of one connection, and what its receiver may be told of what was decided.
pub struct UpdateStream {
    last_number: u64,
    acknowledged: u64,
    slots: [Slot; SECTION_KINDS],
    /// The last decided state of which everything was sent, and when a majority held nothing newer.
    sent_state: Option<MajorityReport>,
}

/// The sections of one kind.
#[derive(Default)]
struct Slot {
    /// The one that was sent last.
    sent: Option<SentSection>,
    /// Whether a newer one waits for an acknowledgement.
    is_waiting: bool,
}

struct SentSection {
    section: StateSection,
    number: u64,
    sent_at: Millis,
}

impl Default for UpdateStream {
    fn default() -> UpdateStream {
        UpdateStream {
            last_number: 0,
            acknowledged: 0,
            slots: [const {
                Slot {
                    sent: None,
                    is_waiting: false,
                }
            }; SECTION_KINDS],
            sent_state: None,
        }
    }
}

impl UpdateStream {
    /// Offers the newest section of its kind. Returns the number under which it is to be sent now; `None`: the receiver
    /// has it, or has not acknowledged the one before. Then it is to be offered again once [`UpdateStream::is_waiting`]
    /// and something was acknowledged, or time has passed.
    pub fn offer(&mut self, now: Millis, section: &StateSection) -> Option<u64> {
        let acknowledged = self.acknowledged;
        let slot = &mut self.slots[section.kind()];
        let is_sent = |sent: &SentSection| is_covered(&sent.section, section);
        if slot.sent.as_ref().is_some_and(is_sent) {
            slot.is_waiting = false;
            return None;
        }
        let is_unacknowledged = |sent: &SentSection| {
            sent.number > acknowledged && now - sent.sent_at < ACKNOWLEDGEMENT_TIMEOUT
        };
        slot.is_waiting = slot.sent.as_ref().is_some_and(is_unacknowledged);
        if slot.is_waiting {
            return None;
        }
        Some(self.record_sent(now, section))
    }

    /// The number under which a section is to be sent now, whatever was sent before: a receiver that differs is repaired.
    pub fn resend(&mut self, now: Millis, section: &StateSection) -> u64 {
        self.record_sent(now, section)
    }

    fn record_sent(&mut self, now: Millis, section: &StateSection) -> u64 {
        self.last_number += 1;
        let sent = SentSection {
            section: section.clone(),
            number: self.last_number,
            sent_at: now,
        };
        self.slots[section.kind()] = Slot {
            sent: Some(sent),
            is_waiting: false,
        };
        self.last_number
    }

    /// The receiver has applied all updates up to that number.
    pub fn acknowledge(&mut self, number: u64) {
        self.acknowledged = self.acknowledged.max(number.min(self.last_number));
    }

    /// Whether a section waits until the one before it is acknowledged.
    pub fn is_waiting(&self) -> bool {
        self.slots.iter().any(|slot| slot.is_waiting)
    }

    /// Whether a section waits that is part of the decided state.
    fn is_decided_waiting(&self) -> bool {
        let is_decided = |slot: &Slot| {
            let section = slot.sent.as_ref().map(|sent| &sent.section);
            section.is_some_and(StateSection::is_decided)
        };
        self.slots
            .iter()
            .any(|slot| slot.is_waiting && is_decided(slot))
    }

    /// Whether everything that was offered is applied.
    pub fn is_applied(&self) -> bool {
        !self.is_waiting() && self.acknowledged == self.last_number
    }

    /// Whether an update has been unacknowledged for too long.
    pub fn is_stalled(&self, now: Millis) -> bool {
        let mut sent = self.slots.iter().filter_map(|slot| slot.sent.as_ref());
        sent.any(|sent| {
            sent.number > self.acknowledged && now - sent.sent_at >= ACKNOWLEDGEMENT_TIMEOUT
        })
    }

    /// The number of the last update that was sent.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// The number up to which updates are acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// The sections of that decided state have been offered. Until all of them are sent, the receiver is told of the state
    /// before: what it is told never runs ahead of the updates, so that it can take any difference for a lost update.
    pub fn record_offered(&mut self, report: MajorityReport) {
        if !self.is_decided_waiting() {
            self.sent_state = Some(report);
        }
    }

    /// What the receiver is to be told of `newest`, the newest decided state.
    pub fn report(&mut self, newest: MajorityReport) -> MajorityReport {
        match &mut self.sent_state {
            Some(sent) if sent.decided == newest.decided => {
                sent.as_of = newest.as_of;
                newest
            }
            Some(sent) => *sent,
            None => newest,
        }
    }
}

/// Whether a receiver that was sent `sent` need not be sent `section`.
fn is_covered(sent: &StateSection, section: &StateSection) -> bool {
    match (sent, section) {
        (
            StateSection::Config {
                version: sent_version,
                checksum: sent_checksum,
                ..
            },
            StateSection::Config {
                version, checksum, ..
            },
        ) => (sent_version, sent_checksum) == (version, checksum),
        (StateSection::Servers { list: sent, .. }, StateSection::Servers { list, .. }) => {
            let mut pairs = sent.iter().zip(list);
            sent.len() == list.len() && pairs.all(|(sent, server)| is_same_server(sent, server))
        }
        (sent, section) => sent == section,
    }
}

/// Whether the two entries differ at most in that a slow start has progressed: receivers count its remaining time down
/// themselves. A slow start that begins is a difference.
fn is_same_server(sent: &ServerInstance, server: &ServerInstance) -> bool {
    let without_slow_start = |server: &ServerInstance| ServerInstance {
        slow_start_left_ms: 0,
        ..server.clone()
    };
    server.slow_start_left_ms <= sent.slow_start_left_ms
        && without_slow_start(sent) == without_slow_start(server)
}
