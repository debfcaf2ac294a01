//! Corruption of a data folder: which synced data cannot be read, and which records it affects.

use std::collections::BTreeSet;
use std::fmt;

/// The corruption found in a data folder. Empty if the folder is intact.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Corruption {
    /// One line per fault, with its file, offset and entry.
    locations: Vec<String>,
    /// Records whose latest value is lost.
    lost_records: BTreeSet<String>,
    /// Whether whole entries are lost. It is unknown which records they contained, so the latest value of any record
    /// may be lost, except those written since.
    has_lost_entries: bool,
    /// Records of which an intact value follows the last lost entry.
    written_since: BTreeSet<String>,
}

impl Corruption {
    /// Whether no corruption was found.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Whether the latest value of a record is lost or may be lost.
    pub fn affects(&self, record: &str) -> bool {
        let may_be_lost = self.has_lost_entries && !self.written_since.contains(record);
        self.lost_records.contains(record) || may_be_lost
    }

    /// One line per fault, with its file, offset and entry.
    pub fn locations(&self) -> &[String] {
        &self.locations
    }

    /// Notes that whole entries are lost. Their records are unknown; only values written later are safe.
    pub(crate) fn add_lost_entries(&mut self, location: String) {
        self.locations.push(location);
        self.lost_records.clear();
        self.written_since.clear();
        self.has_lost_entries = true;
    }

    /// Notes that the value of one record is lost.
    pub(crate) fn add_lost_record(&mut self, location: String, record: &str) {
        self.locations.push(location);
        self.written_since.remove(record);
        self.lost_records.insert(record.to_owned());
    }

    /// Notes that a later, intact value of a record was read.
    pub(crate) fn record_written(&mut self, record: &str) {
        self.lost_records.remove(record);
        if self.has_lost_entries {
            self.written_since.insert(record.to_owned());
        }
    }
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.locations.join("; "))
    }
}
