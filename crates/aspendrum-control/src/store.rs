//! The disk: one value, replaced whole, there after any loss of power once `keep` has returned.

use aspendrum_consensus::founding::Acceptor;
use aspendrum_consensus::holdings::{Config, Disk, Holdings};
use aspendrum_consensus::numbers::{Numbers, Text};
use aspendrum_consensus::register::Kept;
use aspendrum_model::hash::digest;
use aspendrum_model::packed::unpack;
use redb::{Builder, Database, TableDefinition};
use std::path::Path;

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");
const KEY: &str = "kept-3";
/// As the versions before wrote it.
const BEFORE: &str = "kept-2";
const FIRST: &str = "kept";
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
        if let Some(bytes) = table.get(BEFORE).map_err(|e| e.to_string())? {
            let before: Before = postcard::from_bytes(bytes.value()).map_err(|e| e.to_string())?;
            return Ok(Some(before.now()));
        }
        let Some(bytes) = table.get(FIRST).map_err(|e| e.to_string())? else { return Ok(None) };
        let (held, disk, whole) = postcard::from_bytes(bytes.value()).map_err(|e| e.to_string())?;
        Ok(Some(Before { held, disk, whole, first: whole, founding: Acceptor::default() }.now()))
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

/// What the version before kept. It joined configurations by their texts' digests, and held some that were not
/// acknowledged.
#[derive(serde::Deserialize)]
struct Before {
    held: Holdings,
    disk: Disk,
    whole: bool,
    first: bool,
    founding: Acceptor,
}

impl Before {
    /// Its configuration counts as accepted, not as decided, under a ballot that ranks two texts as it did.
    fn now(mut self) -> Kept {
        let Config { version, text } = std::mem::take(&mut self.held.config);
        let mut numbers = Numbers::default();
        if let Some(plain) = unpack(&text).filter(|_| version > 0) {
            let accepted = Text { digest: digest(&plain), packed: Some(text.clone()) };
            numbers.held_before(version, digest(&text), accepted);
        }
        let Before { held, disk, whole, first, founding } = self;
        Kept { held, numbers, disk, whole, first, founding }
    }
}
