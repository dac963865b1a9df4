//! The disk: one value, replaced whole, there after any loss of power once `keep` has returned.

use crate::legacy;
use aspendrum_consensus::State;
use redb::{Builder, Database, TableDefinition};
use std::path::Path;

/// The file's name is that of the first versions, whose disks are read.
const FILE: &str = "vault.redb";
const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("kept");
const KEY: &str = "state-4";
/// What is held is read once and written seldom.
const CACHE: usize = 1 << 20;

pub struct Store(Database);

impl Store {
    pub fn open(folder: &Path) -> Result<Store, String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let file = folder.join(FILE);
        let opened = Builder::new().set_cache_size(CACHE).create(&file);
        opened
            .map(Store)
            .map_err(|e| format!("{}: {e}", file.display()))
    }

    /// What was kept last, none on an empty disk.
    pub fn read(&self) -> Result<Option<State>, String> {
        let view = self.0.begin_read().map_err(|e| e.to_string())?;
        let table = match view.open_table(TABLE) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(e.to_string()),
        };
        for (key, decode) in [(KEY, current as legacy::Decode)]
            .into_iter()
            .chain(legacy::FORMATS)
        {
            if let Some(bytes) = table.get(key).map_err(|e| e.to_string())? {
                return decode(bytes.value())
                    .map(Some)
                    .map_err(|e| format!("{key}: {e}"));
            }
        }
        Ok(None)
    }

    /// Returns once it is synced.
    pub fn keep(&self, state: &State) -> Result<(), String> {
        let bytes = postcard::to_allocvec(state).map_err(|e| e.to_string())?;
        let write = self.0.begin_write().map_err(|e| e.to_string())?;
        {
            let mut table = write.open_table(TABLE).map_err(|e| e.to_string())?;
            table
                .insert(KEY, bytes.as_slice())
                .map_err(|e| e.to_string())?;
            // From now on the older format says nothing true.
            for (key, _) in legacy::FORMATS {
                table.remove(key).map_err(|e| e.to_string())?;
            }
        }
        write.commit().map_err(|e| e.to_string())
    }
}

fn current(bytes: &[u8]) -> Result<State, postcard::Error> {
    postcard::from_bytes(bytes)
}
