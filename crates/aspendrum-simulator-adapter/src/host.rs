//! Many instances behind one pair of pipes, each in a slot of its own.

use crate::frame::{Batch, Reply, WireEvent};
use aspendrum_core::api::{Action, ServerEntry};
use aspendrum_core::engine::DecisionEngine;
use std::collections::HashMap;

#[derive(Default)]
pub struct Host {
    slots: HashMap<u32, DecisionEngine>,
    actions: Vec<Action>,
    members: Vec<ServerEntry>,
}

impl Host {
    pub fn answer(&mut self, frame: &[u8], out: &mut Vec<u8>) -> Result<(), String> {
        let batch = Batch::open(frame)?;
        let mut reply = Reply::begin(out);
        let mut current = None;
        for index in 0..batch.count() {
            let event = batch
                .event(index, &mut self.members)
                .map_err(|e| format!("record {index}: {e}"))?;
            if let WireEvent::On(limiter) = event {
                current = Some(limiter);
                continue;
            }
            let Some(limiter) = current else {
                return Err(format!("record {index}: an event before any On"));
            };
            match event {
                WireEvent::On(_) => {}
                WireEvent::Begin(seed, settings) => {
                    let control =
                        DecisionEngine::new(batch.now(), seed, &settings, &mut self.actions);
                    self.slots.insert(limiter, control);
                }
                WireEvent::Stop => {
                    self.slots
                        .remove(&limiter)
                        .ok_or_else(|| no_instance(index, limiter))?;
                }
                WireEvent::Told(event) => {
                    let control = self
                        .slots
                        .get_mut(&limiter)
                        .ok_or_else(|| no_instance(index, limiter))?;
                    control.handle(batch.now(), &event, &mut self.actions);
                }
            }
            reply.write(limiter, &mut self.actions);
        }
        reply.finish()
    }
}

fn no_instance(index: usize, limiter: u32) -> String {
    format!("record {index}: On for no such instance: {limiter}")
}
