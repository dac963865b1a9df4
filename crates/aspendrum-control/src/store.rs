//! Persistent storage of the node's durable state: a single value in a redb database, always replaced as a whole. Once
//! [`Store::write`] has returned, the state survives a power failure at any time.

use crate::errors::StoreError;
use crate::legacy;
use aspendrum_consensus::DurableState;
use redb::{Builder, Database, TableDefinition, TableError};
use std::path::Path;

/// The file and the table keep the names of the first versions, because their databases must remain readable.
const FILE_NAME: &str = "vault.redb";
const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("kept");
/// The key of the state in the current format.
const KEY: &str = "state-4";
/// The page cache is small because the state is read once and rarely written.
const CACHE_BYTES: usize = 1 << 20;

/// The database file.
pub struct Store(Database);

impl Store {
    /// Opens the database in the data directory. Creates the directory and the database if they do not exist.
    ///
    /// # Errors
    /// Returns an error if the directory cannot be created, or if the file is not a valid database or is in use.
    pub fn open(data_dir: &Path) -> Result<Store, StoreError> {
        std::fs::create_dir_all(data_dir).map_err(|source| StoreError::CreateDataDir {
            data_dir: data_dir.to_path_buf(),
            source,
        })?;
        let file = data_dir.join(FILE_NAME);
        let opened = Builder::new().set_cache_size(CACHE_BYTES).create(&file);
        let database = opened.map_err(|source| StoreError::Open { file, source })?;
        Ok(Store(database))
    }

    /// Reads the state that was last written, in the current or an earlier format; `None` if the database is empty.
    ///
    /// # Errors
    /// Returns an error if the database cannot be read or the state cannot be decoded.
    pub fn read(&self) -> Result<Option<DurableState>, StoreError> {
        let transaction = self.0.begin_read().map_err(StoreError::database)?;
        let table = match transaction.open_table(TABLE) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(StoreError::database(error)),
        };
        let current = (KEY, decode as legacy::Decode);
        for (key, decode) in [current].into_iter().chain(legacy::FORMATS) {
            if let Some(bytes) = table.get(key).map_err(StoreError::database)? {
                let state = decode(bytes.value());
                let state = state.map_err(|source| StoreError::Decode { key, source })?;
                return Ok(Some(state));
            }
        }
        Ok(None)
    }

    /// Replaces the state, and returns once the new state is synced to the disk.
    ///
    /// # Errors
    /// Returns an error if the state cannot be encoded or written. The previous state is still on the disk then.
    pub fn write(&self, state: &DurableState) -> Result<(), StoreError> {
        let bytes = postcard::to_allocvec(state).map_err(StoreError::Encode)?;
        let transaction = self.0.begin_write().map_err(StoreError::database)?;
        {
            let mut table = transaction
                .open_table(TABLE)
                .map_err(StoreError::database)?;
            let inserted = table.insert(KEY, bytes.as_slice());
            inserted.map_err(StoreError::database)?;
            // A state in an earlier format is superseded by the one just written.
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
