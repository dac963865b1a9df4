//! The node's state on its disk: one value in a database file, replaced as a whole. It survives a loss of power at any
//! time once [`Store::write`] has returned.

use crate::errors::StoreError;
use crate::legacy;
use aspendrum_consensus::DurableState;
use redb::{Builder, Database, TableDefinition, TableError};
use std::path::Path;

/// The names of the file and the table are those of the first versions, whose disks are still read.
const FILE: &str = "vault.redb";
const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("kept");
/// Names the present format.
const KEY: &str = "state-4";
/// The state is read once and written seldom.
const CACHE_BYTES: usize = 1 << 20;

/// The database file.
pub struct Store(Database);

impl Store {
    /// Opens the database in that folder, or creates it.
    ///
    /// # Errors
    /// The folder cannot be created, or the file is no database or in use.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        std::fs::create_dir_all(folder).map_err(|source| StoreError::CreateFolder {
            folder: folder.to_path_buf(),
            source,
        })?;
        let file = folder.join(FILE);
        let opened = Builder::new().set_cache_size(CACHE_BYTES).create(&file);
        let database = opened.map_err(|source| StoreError::Open { file, source })?;
        Ok(Store(database))
    }

    /// The state that was written last; none on an empty disk. Disks of earlier formats are read too.
    ///
    /// # Errors
    /// The database cannot be read, or the state cannot be decoded.
    pub fn read(&self) -> Result<Option<DurableState>, StoreError> {
        let transaction = self.0.begin_read().map_err(StoreError::database)?;
        let table = match transaction.open_table(TABLE) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(StoreError::database(error)),
        };
        let present = (KEY, decode as legacy::Decode);
        for (key, decode) in [present].into_iter().chain(legacy::FORMATS) {
            if let Some(bytes) = table.get(key).map_err(StoreError::database)? {
                let state = decode(bytes.value());
                let state = state.map_err(|source| StoreError::Decode { key, source })?;
                return Ok(Some(state));
            }
        }
        Ok(None)
    }

    /// Replaces the state. Returns once it is synced.
    ///
    /// # Errors
    /// The state cannot be encoded or written. What was written before is still there.
    pub fn write(&self, state: &DurableState) -> Result<(), StoreError> {
        let bytes = postcard::to_allocvec(state).map_err(StoreError::Encode)?;
        let transaction = self.0.begin_write().map_err(StoreError::database)?;
        {
            let mut table = transaction
                .open_table(TABLE)
                .map_err(StoreError::database)?;
            let inserted = table.insert(KEY, bytes.as_slice());
            inserted.map_err(StoreError::database)?;
            // The state of an earlier format is outdated now.
            for (key, _) in legacy::FORMATS {
                table.remove(key).map_err(StoreError::database)?;
            }
        }
        transaction.commit().map_err(StoreError::database)
    }
}

fn decode(bytes: &[u8]) -> Result<DurableState, postcard::Error> {
    postcard::from_bytes(bytes)
}
