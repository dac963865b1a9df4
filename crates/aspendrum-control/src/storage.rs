//! Carries out a replica's effects in their order, with the disk on a thread of its own: what rests on a state waits
//! until that is synced, and nothing else waits for the disk.

use crate::event::Event;
use crate::store::Store;
use aspendrum_consensus::{Effect, State};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::spawn;
use crossbeam_channel::{bounded, Receiver, Sender};
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STACK: usize = 256 << 10;
/// Effects that wait for a disk that does not answer. More messages than these are dropped, as a network may.
const MOST_WAITING: usize = 2000;
/// A disk that has not answered for so long is told to the other machines.
const STALLED: Duration = Duration::from_millis(1500);
/// Between two tries to write to a disk that failed.
const RETRY: Duration = Duration::from_millis(500);

/// The end of a write.
pub struct Stored(Result<(), String>);

/// What the end of a write comes to.
pub enum After {
    /// These effects may be carried out now.
    Release(Vec<Effect>),
    /// The disk takes no bytes: all that waited for it is dropped, and what it held before is still there.
    Failed(String),
    /// A disk that had failed takes bytes again.
    Recovered,
}

/// How the disk is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Well,
    /// It has not answered for a while.
    Stalled,
    /// It took no bytes: what it held before is still there.
    Failed,
}

/// The disk's thread, and what waits for it.
pub struct Storage {
    /// None: there is no disk, and nothing is to be kept.
    writer: Option<Sender<State>>,
    /// When the write under way began.
    writing: Option<Instant>,
    /// The write under way, and the last one that was synced.
    under_way: Option<State>,
    synced: Option<State>,
    /// The effects not carried out yet, in order. Persist stands for all before it that is not synced.
    waiting: VecDeque<Effect>,
    /// How many marks of Persist at the front of `waiting` the write under way will have covered.
    covered: usize,
    failed: Option<Instant>,
}

impl Storage {
    /// `folder`: of the disk, and what it holds now.
    pub fn start(
        folder: Option<PathBuf>,
        store: Option<Store>,
        held: Option<State>,
        events: &Arc<MailboxSender<Event>>,
    ) -> std::io::Result<Storage> {
        let writer = match (folder, store) {
            (Some(folder), Some(store)) => {
                let (give, take) = bounded(1);
                let events = events.clone();
                spawn("disk", STACK, move || write(&folder, store, &take, &events))?;
                Some(give)
            }
            _ => None,
        };
        Ok(Storage {
            writer,
            writing: None,
            under_way: None,
            synced: held,
            waiting: VecDeque::new(),
            covered: 0,
            failed: None,
        })
    }

    pub fn health(&self) -> Health {
        match (self.failed, self.writing) {
            (Some(_), _) => Health::Failed,
            (None, Some(since)) if since.elapsed() >= STALLED => Health::Stalled,
            _ => Health::Well,
        }
    }

    /// What the disk holds for certain.
    pub fn synced(&self) -> Option<&State> {
        self.synced.as_ref()
    }

    /// Takes effects in, and hands over what may be carried out now. `state`: as it is behind these effects.
    pub fn push(&mut self, effects: Vec<Effect>, state: &State) -> Vec<Effect> {
        if self.writer.is_none() || self.failed.is_some() {
            return effects
                .into_iter()
                .filter(|e| *e != Effect::Persist)
                .collect();
        }
        let crowded = self.waiting.len() >= MOST_WAITING;
        let kept = effects
            .into_iter()
            .filter(|e| !crowded || !matches!(e, Effect::Send { .. }));
        self.waiting.extend(kept);
        self.write(state);
        self.ready()
    }

    /// Begins a write of all that is to be kept, unless one is under way.
    fn write(&mut self, state: &State) {
        let marks = self
            .waiting
            .iter()
            .filter(|e| **e == Effect::Persist)
            .count();
        let Some(writer) = self
            .writer
            .as_ref()
            .filter(|_| self.writing.is_none() && marks > 0)
        else {
            return;
        };
        if writer.try_send(state.clone()).is_ok() {
            self.writing = Some(Instant::now());
            self.under_way = Some(state.clone());
            self.covered = marks;
        }
    }

    /// What stands before the first mark that is not synced.
    fn ready(&mut self) -> Vec<Effect> {
        let until = self
            .waiting
            .iter()
            .position(|e| *e == Effect::Persist)
            .unwrap_or(self.waiting.len());
        self.waiting.drain(..until).collect()
    }

    /// A write has ended. `state`: as it is now.
    pub fn stored(&mut self, stored: Stored, state: &State) -> After {
        self.writing = None;
        let written = self.under_way.take();
        let covered = std::mem::take(&mut self.covered);
        if let Err(why) = stored.0 {
            self.failed = Some(Instant::now());
            self.waiting.clear();
            return After::Failed(why);
        }
        self.synced = written;
        if self.failed.take().is_some() {
            return After::Recovered;
        }
        let mut released = self.ready();
        for _ in 0..covered {
            self.waiting.pop_front();
            released.extend(self.ready());
        }
        self.write(state);
        After::Release(released)
    }

    /// Tries a failed disk again, with what it held last. `first`: where it held nothing yet.
    pub fn retry(&mut self, first: &State) {
        let due = self.failed.is_some_and(|at| at.elapsed() >= RETRY) && self.writing.is_none();
        let Some(writer) = self.writer.as_ref().filter(|_| due) else {
            return;
        };
        let state = self.synced.as_ref().unwrap_or(first).clone();
        if writer.try_send(state.clone()).is_ok() {
            self.writing = Some(Instant::now());
            self.under_way = Some(state);
        }
    }
}

/// The disk's thread: writes one state after another. After a failure the file is opened anew: what was synced before
/// is still there.
fn write(
    folder: &std::path::Path,
    store: Store,
    states: &Receiver<State>,
    events: &MailboxSender<Event>,
) {
    let mut store = Some(store);
    while let Ok(state) = states.recv() {
        let opened = store.take().map_or_else(|| Store::open(folder), Ok);
        let result = opened.and_then(|opened| {
            opened.keep(&state)?;
            store = Some(opened);
            Ok(())
        });
        if !events.send(Event::Stored(Stored(result)), None) {
            return;
        }
    }
}
