//! The disk: one value, replaced whole, there after any loss of power once `keep` has returned.

use aspendrum_accession::founding::Acceptor;
use aspendrum_accession::register::Kept;
use redb::{Builder, Database, TableDefinition};
use std::path::Path;

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");
const KEY: &str = "kept-2";
/// As the version before wrote it.
const BEFORE: &str = "kept";
/// What is held is read once and written seldom.
const CACHE: usize = 1 << 20;

pub struct Store(Database);

impl Store {
    pub fn open(folder: &Path) -> Result<Store, String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let file = folder.join("vault.redb");
        let opened = Builder::new().set_cache_size(CACHE).create(&file);
        opened.map(Store).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// What was kept last, none on an empty disk.
    pub fn read(&self) -> Result<Option<Kept>, String> {
        let view = self.0.begin_read().map_err(|e| e.to_string())?;
        let table = match view.open_table(TABLE) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(e.to_string()),
        };
        if let Some(bytes) = table.get(KEY).map_err(|e| e.to_string())? {
            return postcard::from_bytes(bytes.value()).map(Some).map_err(|e| e.to_string());
        }
        let Some(bytes) = table.get(BEFORE).map_err(|e| e.to_string())? else { return Ok(None) };
        let (held, disk, whole) = postcard::from_bytes(bytes.value()).map_err(|e| e.to_string())?;
        Ok(Some(Kept { held, disk, whole, first: whole, founding: Acceptor::default() }))
    }

    /// Returns once it is synced.
    pub fn keep(&self, kept: &Kept) -> Result<(), String> {
        let bytes = postcard::to_allocvec(kept).map_err(|e| e.to_string())?;
        let write = self.0.begin_write().map_err(|e| e.to_string())?;
        {
            let mut table = write.open_table(TABLE).map_err(|e| e.to_string())?;
            table.insert(KEY, bytes.as_slice()).map_err(|e| e.to_string())?;
        }
        write.commit().map_err(|e| e.to_string())
    }
}
