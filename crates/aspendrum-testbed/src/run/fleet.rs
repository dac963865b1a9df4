//! The processes, fakes and links of a run, on which the fault timeline acts.

use super::addresses::AddressBlock;
use super::error::Failure;
use super::exemptions::Exemptions;
use super::limiters::LimiterSlot;
use super::links::Links;
use super::services::FakeServices;
use crate::program::Program;
use crate::scenario::Scenario;
use crate::timeline::FaultTransition;
use aspendrum_fake_services::{lock, Clock};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// The limiters of a run, with their fakes and links.
pub(super) struct Fleet {
    pub(super) scenario: Arc<Scenario>,
    pub(super) clock: Clock,
    /// The directory of the limiters' configurations and logs.
    pub(super) folder: PathBuf,
    pub(super) program: Program,
    pub(super) addresses: AddressBlock,
    pub(super) services: FakeServices,
    pub(super) links: Links,
    pub(super) limiters: Vec<tokio::sync::Mutex<LimiterSlot>>,
    /// The start transitions of the faults that have not ended yet.
    pub(super) active_faults: Mutex<Vec<FaultTransition>>,
    pub(super) exemptions: Exemptions,
    failures: Mutex<Vec<Failure>>,
}

impl Fleet {
    /// Starts the fakes and the links. [`Fleet::start_limiters`] starts the limiters.
    ///
    /// # Errors
    /// The I/O error if no address is free.
    pub(super) async fn prepare(
        scenario: &Scenario,
        program: &Program,
        folder: &Path,
    ) -> io::Result<Fleet> {
        let clock = Clock::start();
        let addresses = AddressBlock::reserve()?;
        let services = FakeServices::start(scenario, clock).await?;
        let links = Links::start(scenario, &addresses, &services).await?;
        let limiters = (0..scenario.limiters.count).map(|_| tokio::sync::Mutex::default());
        Ok(Fleet {
            scenario: Arc::new(scenario.clone()),
            clock,
            folder: folder.to_path_buf(),
            program: program.clone(),
            addresses,
            services,
            links,
            limiters: limiters.collect(),
            active_faults: Mutex::default(),
            exemptions: Exemptions::default(),
            failures: Mutex::default(),
        })
    }

    /// Records a failure.
    pub(super) fn record_failure(&self, failure: Failure) {
        lock(&self.failures).push(failure);
    }

    /// Returns and clears the failures recorded since the last call.
    pub(super) fn take_failures(&self) -> Vec<Failure> {
        std::mem::take(&mut *lock(&self.failures))
    }
}
