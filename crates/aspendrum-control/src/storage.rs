//! Holds back a replica's effects until the state that they depend on is durable. A separate thread writes to the disk,
//! so that a slow disk does not block the node's thread.

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
/// The queue length at which new messages are dropped instead of queued. It is reached only if the disk does not
/// respond; the protocols tolerate lost messages.
const MAX_QUEUED_EFFECTS: usize = 2000;
/// The duration of a write after which the disk counts as stalled. The other nodes then replace this voter.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval between attempts to write to a failed disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The result of a write.
pub type WriteResult = Result<(), StoreError>;

/// The consequence of a finished write.
pub enum WriteCompletion {
    /// The write succeeded, and these effects may be executed now.
    Released(Vec<Effect>),
    /// The write failed. All queued effects are dropped; the state that was durable before is still on the disk.
    Failed(StoreError),
    /// A write to a failed disk has succeeded again.
    Recovered,
}

/// The health of the disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskHealth {
    /// No failure or stall has been detected.
    Healthy,
    /// A write has been pending for [`STALL_TIMEOUT`] or longer.
    Stalled,
    /// The last write failed.
    Failed,
}

/// An opened disk.
pub struct Disk {
    /// The data directory, from which the database is reopened after a failure.
    pub data_dir: PathBuf,
    /// The open database.
    pub store: Store,
}

/// A write in progress.
struct PendingWrite {
    started_at: Instant,
    state: DurableState,
    /// The number of [`Effect::Persist`] at the front of the queue that this write completes.
    persist_count: usize,
}

/// The connection to the disk's thread, and the effects that are queued until a write completes.
pub struct Storage {
    /// `None` if the node has no disk; [`Effect::Persist`] is then ignored.
    writer: Option<Sender<DurableState>>,
    pending_write: Option<PendingWrite>,
    /// The state that was last written and synced.
    synced: Option<DurableState>,
    /// The effects that are held back, in order. Every [`Effect::Persist`] in the queue is still to be completed by a
    /// write.
    queue: VecDeque<Effect>,
    failed_at: Option<Instant>,
}

impl Storage {
    /// Starts the disk's thread. `synced` is the state on the disk. `on_written` is called with the result of each
    /// write; it returns false if the node's thread has ended.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(
        disk: Option<Disk>,
        synced: Option<DurableState>,
        on_written: impl Fn(WriteResult) -> bool + Send + 'static,
    ) -> io::Result<Storage> {
        let mut writer = None;
        if let Some(Disk { data_dir, store }) = disk {
            let (sender, states) = bounded(1);
            let write = move || write_states(&data_dir, store, &states, on_written);
            spawn("disk", STACK_BYTES, write)?;
            writer = Some(sender);
        }
        Ok(Storage {
            writer,
            pending_write: None,
            synced,
            queue: VecDeque::new(),
            failed_at: None,
        })
    }

    /// Returns the current health of the disk.
    pub fn health(&self) -> DiskHealth {
        if self.failed_at.is_some() {
            return DiskHealth::Failed;
        }
        match &self.pending_write {
            Some(write) if write.started_at.elapsed() >= STALL_TIMEOUT => DiskHealth::Stalled,
            _ => DiskHealth::Healthy,
        }
    }

    /// Returns the state that was last written and synced.
    pub fn synced(&self) -> Option<&DurableState> {
        self.synced.as_ref()
    }

    /// Queues effects, and returns those that may be executed now. `state` is the durable state after these effects.
    /// Without a disk, or while it has failed, no effect is held back and [`Effect::Persist`] is removed.
    pub fn push(&mut self, effects: Vec<Effect>, state: &DurableState) -> Vec<Effect> {
        let mut effects = effects;
        if self.writer.is_none() || self.failed_at.is_some() {
            effects.retain(|effect| *effect != Effect::Persist);
            return effects;
        }
        if self.queue.len() >= MAX_QUEUED_EFFECTS {
            effects.retain(|effect| !matches!(effect, Effect::Send { .. }));
        }
        self.queue.extend(effects);
        self.start_write(state);
        self.take_released()
    }

    /// Starts to write `state` if the queue contains a persist effect and no write is in progress.
    fn start_write(&mut self, state: &DurableState) {
        let is_persist = |effect: &&Effect| **effect == Effect::Persist;
        let persist_count = self.queue.iter().filter(is_persist).count();
        if self.pending_write.is_none() && persist_count > 0 {
            self.send_write(state.clone(), persist_count);
        }
    }

    fn send_write(&mut self, state: DurableState, persist_count: usize) {
        let Some(writer) = &self.writer else {
            return;
        };
        if writer.try_send(state.clone()).is_ok() {
            self.pending_write = Some(PendingWrite {
                started_at: Instant::now(),
                state,
                persist_count,
            });
        }
    }

    /// Removes and returns the effects before the first [`Effect::Persist`] in the queue.
    fn take_released(&mut self) -> Vec<Effect> {
        let mut effects = self.queue.iter();
        let first_persist = effects.position(|effect| *effect == Effect::Persist);
        let end = first_persist.unwrap_or(self.queue.len());
        self.queue.drain(..end).collect()
    }

    /// Handles the result of a write. `state` is the current durable state; it is written next if effects are still
    /// held back.
    pub fn on_write_finished(
        &mut self,
        result: WriteResult,
        state: &DurableState,
    ) -> WriteCompletion {
        let write = self.pending_write.take();
        if let Err(error) = result {
            self.failed_at = Some(Instant::now());
            self.queue.clear();
            return WriteCompletion::Failed(error);
        }
        let persist_count = write.as_ref().map_or(0, |write| write.persist_count);
        self.synced = write.map(|write| write.state);
        if self.failed_at.take().is_some() {
            return WriteCompletion::Recovered;
        }
        let mut released = self.take_released();
        for _ in 0..persist_count {
            self.queue.pop_front();
            released.extend(self.take_released());
        }
        self.start_write(state);
        WriteCompletion::Released(released)
    }

    /// Writes the last synced state to a failed disk if a retry is due. `initial` is written if no state has been
    /// synced yet.
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

/// Runs the disk's thread: writes each state that it receives. After a failed write the database is reopened for the
/// next one; the state that was durable before is still on the disk.
fn write_states(
    data_dir: &Path,
    store: Store,
    states: &Receiver<DurableState>,
    on_written: impl Fn(WriteResult) -> bool,
) {
    let mut opened = Some(store);
    while let Ok(state) = states.recv() {
        let store = opened.take().map_or_else(|| Store::open(data_dir), Ok);
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
