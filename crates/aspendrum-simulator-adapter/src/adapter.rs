//! Dispatches the records of a frame to decision engine instances.

use crate::batch::{Batch, Record};
use crate::error::{FrameError, RecordError};
use crate::reply::Reply;
use aspendrum_core::api::{Action, Millis, ServerEntry};
use aspendrum_core::engine::DecisionEngine;
use std::collections::HashMap;

/// The running instances, by number.
#[derive(Default)]
pub struct Adapter {
    instances: HashMap<u32, DecisionEngine>,
    /// Buffers that are reused across frames to avoid allocations.
    actions: Vec<Action>,
    servers: Vec<ServerEntry>,
}

impl Adapter {
    /// Passes each event of a frame to its instance, and writes the reply to `out`.
    ///
    /// # Errors
    /// Returns [`FrameError`] if the frame or one of its records is invalid, or if the reply is too long.
    pub fn process(&mut self, frame: &[u8], out: &mut Vec<u8>) -> Result<(), FrameError> {
        let batch = Batch::open(frame)?;
        let mut reply = Reply::new(out);
        let mut selected = None;
        for index in 0..batch.count() {
            let processed = self.process_record(&batch, index, &mut selected);
            processed.map_err(|error| FrameError::Record { index, error })?;
            if let Some(instance) = selected {
                reply.add(instance, &mut self.actions);
            }
        }
        reply.finish()
    }

    fn process_record(
        &mut self,
        batch: &Batch<'_>,
        index: usize,
        selected: &mut Option<u32>,
    ) -> Result<(), RecordError> {
        let record = batch.record(index, &mut self.servers)?;
        if let Record::SelectInstance(instance) = record {
            *selected = Some(instance);
            return Ok(());
        }
        let instance = selected.ok_or(RecordError::NoInstance)?;
        apply(
            &mut self.instances,
            instance,
            batch.now(),
            record,
            &mut self.actions,
        )
    }
}

/// Starts or stops an instance, or passes an event to it. Appends the resulting actions to `actions`.
fn apply(
    instances: &mut HashMap<u32, DecisionEngine>,
    instance: u32,
    now: Millis,
    record: Record<'_>,
    actions: &mut Vec<Action>,
) -> Result<(), RecordError> {
    match record {
        Record::SelectInstance(_) => {}
        Record::Start(seed, settings) => {
            instances.insert(instance, DecisionEngine::new(now, seed, &settings, actions));
        }
        Record::Stop => {
            instances
                .remove(&instance)
                .ok_or(RecordError::UnknownInstance { instance })?;
        }
        Record::Event(event) => {
            let engine = instances
                .get_mut(&instance)
                .ok_or(RecordError::UnknownInstance { instance })?;
            engine.handle(now, &event, actions);
        }
    }
    Ok(())
}
