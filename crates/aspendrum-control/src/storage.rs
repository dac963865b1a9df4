//! Delays a replica's effects until the state that they reveal is synced. A thread of its own writes to the disk, so
//! that a slow disk does not block the node's thread.

use crate::errors::StoreError;
use crate::store::Store;
use aspendrum_consensus::{DurableState, Effect};
use aspendrum_net::threads::spawn;
use crossbeam_channel::{bounded, Receiver, Sender};
use std::collections::VecDeque;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 256 << 10;
/// How many effects may wait for a disk that does not answer. Beyond that messages are dropped: the protocols tolerate
/// lost messages.
const MAX_WAITING: usize = 2000;
/// After this time without an answer the disk counts as stalled, and the other nodes replace this voter.
const STALLED_AFTER: Duration = Duration::from_millis(1500);
/// Between two attempts to write to a disk that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// How a write ended.
pub type WriteResult = Result<(), StoreError>;

/// What the end of a write leads to.
pub enum WriteCompletion {
    /// These effects may be carried out now.
    Released(Vec<Effect>),
    /// The disk cannot be written. All effects that waited for it are dropped; what was synced before is still there.
    Failed(StoreError),
    /// A disk that had failed can be written again.
    Recovered,
}

/// The condition of the disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskHealth {
    /// It can be written, as far as is known.
    Healthy,
    /// A write has not ended for a while.
    Stalled,
    /// The last write failed.
    Failed,
}

/// An opened disk.
pub struct Disk {
    /// The folder of the database, for opening it again after a failure.
    pub folder: PathBuf,
    /// The database.
    pub store: Store,
}

/// A write that has not ended yet.
struct PendingWrite {
    started_at: Instant,
    state: DurableState,
    /// The number of [`Effect::Persist`] among the waiting effects that this write completes, counted from the front.
    covered: usize,
}

/// The disk's thread, and the effects that wait for it.
pub struct Storage {
    /// None if there is no disk: [`Effect::Persist`] is then ignored.
    writer: Option<Sender<DurableState>>,
    pending_write: Option<PendingWrite>,
    /// The state that was synced last.
    synced: Option<DurableState>,
    /// The effects that are not carried out yet, in order. A [`Effect::Persist`] among them is not synced.
    waiting: VecDeque<Effect>,
    failed_at: Option<Instant>,
}

impl Storage {
    /// Starts the disk's thread. `synced`: the state on the disk. `on_written` is called with the result of each write,
    /// and returns false if the node's thread has ended.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(
        disk: Option<Disk>,
        synced: Option<DurableState>,
        on_written: impl Fn(WriteResult) -> bool + Send + 'static,
    ) -> io::Result<Storage> {
        let mut writer = None;
        if let Some(Disk { folder, store }) = disk {
            let (sender, states) = bounded(1);
            let write = move || write_states(&folder, store, &states, on_written);
            spawn("disk", STACK_BYTES, write)?;
            writer = Some(sender);
        }
        Ok(Storage {
            writer,
            pending_write: None,
            synced,
            waiting: VecDeque::new(),
            failed_at: None,
        })
    }

    /// The condition of the disk now.
    pub fn health(&self) -> DiskHealth {
        if self.failed_at.is_some() {
            return DiskHealth::Failed;
        }
        match &self.pending_write {
            Some(write) if write.started_at.elapsed() >= STALLED_AFTER => DiskHealth::Stalled,
            _ => DiskHealth::Healthy,
        }
    }

    /// The state that was synced last.
    pub fn synced(&self) -> Option<&DurableState> {
        self.synced.as_ref()
    }

    /// Queues effects, and returns those that may be carried out now. `state`: the durable state after these effects.
    pub fn push(&mut self, effects: Vec<Effect>, state: &DurableState) -> Vec<Effect> {
        let mut effects = effects;
        if self.writer.is_none() || self.failed_at.is_some() {
            effects.retain(|effect| *effect != Effect::Persist);
            return effects;
        }
        if self.waiting.len() >= MAX_WAITING {
            effects.retain(|effect| !matches!(effect, Effect::Send { .. }));
        }
        self.waiting.extend(effects);
        self.start_write(state);
        self.take_released()
    }

    /// Begins to write the state if some effect waits for that, unless a write is under way.
    fn start_write(&mut self, state: &DurableState) {
        let is_persist = |effect: &&Effect| **effect == Effect::Persist;
        let covered = self.waiting.iter().filter(is_persist).count();
        if self.pending_write.is_none() && covered > 0 {
            self.send_write(state.clone(), covered);
        }
    }

    fn send_write(&mut self, state: DurableState, covered: usize) {
        let Some(writer) = &self.writer else {
            return;
        };
        if writer.try_send(state.clone()).is_ok() {
            self.pending_write = Some(PendingWrite {
                started_at: Instant::now(),
                state,
                covered,
            });
        }
    }

    /// The effects before the first persist that is not synced.
    fn take_released(&mut self) -> Vec<Effect> {
        let mut waiting = self.waiting.iter();
        let unsynced = waiting.position(|effect| *effect == Effect::Persist);
        let end = unsynced.unwrap_or(self.waiting.len());
        self.waiting.drain(..end).collect()
    }

    /// A write has ended. `state`: the durable state now.
    pub fn on_write_finished(
        &mut self,
        result: WriteResult,
        state: &DurableState,
    ) -> WriteCompletion {
        let write = self.pending_write.take();
        if let Err(error) = result {
            self.failed_at = Some(Instant::now());
            self.waiting.clear();
            return WriteCompletion::Failed(error);
        }
        let covered = write.as_ref().map_or(0, |write| write.covered);
        self.synced = write.map(|write| write.state);
        if self.failed_at.take().is_some() {
            return WriteCompletion::Recovered;
        }
        let mut released = self.take_released();
        for _ in 0..covered {
            self.waiting.pop_front();
            released.extend(self.take_released());
        }
        self.start_write(state);
        WriteCompletion::Released(released)
    }

    /// Writes the last synced state to a failed disk again, if a retry is due. `initial`: the state to write if none
    /// was synced yet.
    pub fn retry(&mut self, initial: &DurableState) {
        let is_due = self
            .failed_at
            .is_some_and(|at| at.elapsed() >= RETRY_INTERVAL);
        if is_due && self.pending_write.is_none() {
            let state = self.synced.as_ref().unwrap_or(initial).clone();
            self.send_write(state, 0);
        }
    }
}

/// The disk's thread: writes one state after another. After a failure the database is opened again; what was synced
/// before is still there.
fn write_states(
    folder: &Path,
    store: Store,
    states: &Receiver<DurableState>,
    on_written: impl Fn(WriteResult) -> bool,
) {
    let mut opened = Some(store);
    while let Ok(state) = states.recv() {
        let store = opened.take().map_or_else(|| Store::open(folder), Ok);
        let result = store.and_then(|store| {
            store.write(&state)?;
            opened = Some(store);
            Ok(())
        });
        if !on_written(result) {
            return;
        }
    }
}
