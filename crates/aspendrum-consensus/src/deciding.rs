//! Which text stands under a number: one campaign for each number, whoever on this machine waits for it.

use crate::ballot::Ballot;
use crate::campaign::{Campaign, Stage};
use crate::holdings::{Holdings, Ms, Place};
use crate::message::{Message, Reply, Request};
use crate::numbers::{Answer, Text};
use crate::replica::{Effect, Outcome, Replica, Ticket, ORDER_MS, RESEND_MS};

/// An order that waits for its number to be decided.
struct Waiting {
    ticket: Option<Ticket>,
    digest: u64,
    begun: Ms,
}

/// The decision of a number, and whose orders wait for it.
pub(crate) struct NumberCampaign {
    campaign: Campaign<Text>,
    waiting: Vec<Waiting>,
}

impl Replica {
    /// Has a text decided under its number, unless another one was.
    pub(crate) fn decide_number(
        &mut self,
        number: u32,
        text: Vec<u8>,
        digest: u64,
        ticket: Option<Ticket>,
    ) {
        if let Some(known) = self.state.numbers.decided(number) {
            let outcome = if known == digest {
                self.done()
            } else {
                Outcome::Taken
            };
            return self.end(ticket, outcome);
        }
        let waiting = Waiting {
            ticket,
            digest,
            begun: self.now,
        };
        if let Some(known) = self.campaigns.get_mut(&number) {
            return known.waiting.push(waiting);
        }
        let value = Text {
            digest,
            packed: Some(text),
        };
        let campaign = Campaign::begin(self.new_ballot(), value, self.now);
        self.campaigns.insert(
            number,
            NumberCampaign {
                campaign,
                waiting: vec![waiting],
            },
        );
        self.request_number(number);
    }

    /// Has a text decided that some voter has accepted under that ballot.
    pub(crate) fn complete_number(&mut self, number: u32, ballot: Ballot, text: Text) {
        if self.campaigns.contains_key(&number) {
            return;
        }
        let campaign = Campaign::complete(ballot, text, self.now);
        self.campaigns.insert(
            number,
            NumberCampaign {
                campaign,
                waiting: Vec::new(),
            },
        );
        self.request_number(number);
    }

    /// Sends the request of a campaign's stage to the voters that have not answered.
    fn request_number(&mut self, number: u32) {
        if !self.state.epoch.serves() {
            return;
        }
        let now = self.now;
        let Some(known) = self.campaigns.get_mut(&number) else {
            return;
        };
        let campaign = &mut known.campaign;
        campaign.sent_at = now;
        let ballot = campaign.ballot();
        let request = match campaign.stage() {
            Stage::Preparing => Request::Prepare { number, ballot },
            Stage::Accepting => Request::Accept {
                number,
                ballot,
                text: Box::new(campaign.value().clone()),
            },
            Stage::BackedOff { .. } => return,
        };
        let campaign = campaign.clone();
        self.ask(|voter| campaign.awaits(voter), &request);
    }

    pub(crate) fn resend_numbers(&mut self) {
        let now = self.now;
        let numbers: Vec<(u32, bool)> = self
            .campaigns
            .iter()
            .filter_map(|(number, known)| match known.campaign.stage() {
                Stage::BackedOff { until } => (now >= until).then_some((*number, true)),
                _ => (now - known.campaign.sent_at >= RESEND_MS).then_some((*number, false)),
            })
            .collect();
        for (number, anew) in numbers {
            if anew {
                self.restart_number(number);
            } else {
                self.request_number(number);
            }
        }
    }

    /// Begins a number's campaign anew, above all ballots that were heard of.
    fn restart_number(&mut self, number: u32) {
        let (ballot, now) = (self.new_ballot(), self.now);
        if let Some(known) = self.campaigns.get_mut(&number) {
            known.campaign.restart(ballot, now);
            self.request_number(number);
        }
    }

    /// Who votes has changed: what the voters before answered does not count.
    pub(crate) fn restart_numbers(&mut self) {
        let numbers: Vec<u32> = self.campaigns.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| self.restart_number(number));
    }

    pub(crate) fn expire_numbers(&mut self) {
        let now = self.now;
        let mut expired = Vec::new();
        for known in self.campaigns.values_mut() {
            expired.extend(known.waiting.extract_if(.., |w| now - w.begun > ORDER_MS));
        }
        for order in expired {
            self.end(order.ticket, Outcome::NoMajority);
        }
        let idle = |(number, known): (&u32, &NumberCampaign)| {
            (known.waiting.is_empty() && !self.read_waits_for(*number)).then_some(*number)
        };
        let idle: Vec<u32> = self.campaigns.iter().filter_map(idle).collect();
        for number in idle {
            self.campaigns.remove(&number);
        }
    }

    pub(crate) fn answer_prepare(&mut self, number: u32, ballot: Ballot) -> Reply {
        self.heard_of(ballot);
        let in_force = self.state.held.config.version;
        let answer = self.state.numbers.prepare(number, ballot, in_force);
        self.number_reply(number, ballot, answer)
    }

    pub(crate) fn answer_accept(&mut self, number: u32, ballot: Ballot, text: Text) -> Reply {
        self.heard_of(ballot);
        let in_force = self.state.held.config.version;
        let answer = self.state.numbers.accept(number, ballot, text, in_force);
        self.number_reply(number, ballot, answer)
    }

    /// An answer that binds this voter is on its disk before it is sent.
    fn number_reply(&mut self, number: u32, ballot: Ballot, answer: Answer) -> Reply {
        if matches!(answer, Answer::Promised(_) | Answer::Accepted) {
            self.effects.push(Effect::Persist);
        }
        Reply::Number {
            number,
            ballot,
            answer: Box::new(answer),
        }
    }

    pub(crate) fn number_answered(
        &mut self,
        from: Place,
        number: u32,
        ballot: Ballot,
        answer: Answer,
    ) {
        let (voters, quorum, backoff) =
            (self.state.epoch.voters.len(), self.quorum(), self.backoff());
        let Some(known) = self
            .campaigns
            .get_mut(&number)
            .filter(|k| k.campaign.ballot() == ballot)
        else {
            return;
        };
        let campaign = &mut known.campaign;
        match answer {
            Answer::Promised(accepted) => {
                if campaign.promised(from, accepted, quorum) {
                    self.request_number(number);
                }
            }
            Answer::Accepted => {
                if campaign.accepted(from, quorum) {
                    let text = campaign.value().clone();
                    self.decided(number, text);
                }
            }
            Answer::Outbid(by) => {
                campaign.refused(from, voters, quorum, backoff);
                self.heard_of(by);
            }
            Answer::Known(digest) => {
                let own = campaign.value().clone();
                let text = own.packed.filter(|_| own.digest == digest);
                self.learn(number, digest, text);
            }
            // It was overtaken long ago, by whatever text: it changes nothing.
            Answer::Forgotten => self.close_number(number, None),
        }
    }

    /// A majority has accepted that text: it stands under that number for ever.
    fn decided(&mut self, number: u32, text: Text) {
        let digest = text.digest;
        for to in self.other_voters() {
            self.send(to, Message::Decided { number, digest });
        }
        self.learn(number, digest, text.packed);
    }

    /// What was decided under that number, whoever found it out. `text`: if it is at hand. Whoever waits hears of it at
    /// once: it rests on a majority's disks, not on this machine's.
    pub(crate) fn learn(&mut self, number: u32, digest: u64, text: Option<Vec<u8>>) {
        let text = text.or_else(|| self.state.numbers.accepted(number, digest));
        let mut changed = false;
        if let Some(text) = text.filter(|_| number > self.state.held.config.version) {
            changed |= self
                .state
                .held
                .join(&Holdings::default().with(number, text));
            self.state.numbers.overtaken(number);
        }
        changed |= self
            .state
            .numbers
            .decide(number, digest, self.state.held.config.version);
        let config = &self.state.held.config;
        let decided = Holdings::default().with(config.version, config.text.clone());
        self.settle(&decided);
        self.close_number(number, Some(digest));
        if changed {
            self.effects.push(Effect::Persist);
        }
    }

    /// Ends all orders that waited for that number, and goes on with the reads.
    fn close_number(&mut self, number: u32, digest: Option<u64>) {
        let waiting = self
            .campaigns
            .remove(&number)
            .map(|known| known.waiting)
            .unwrap_or_default();
        for order in waiting {
            let done = digest.is_none_or(|digest| digest == order.digest);
            let outcome = if done { self.done() } else { Outcome::Taken };
            self.end(order.ticket, outcome);
        }
        let here = digest.is_some() && self.state.held.config.version >= number;
        self.number_closed(number, here);
    }
}
