//! What of a data folder cannot be read although it had been synced.

use std::collections::BTreeSet;
use std::fmt;

/// The corruption found in a data folder. Empty if there is none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Corruption {
    /// File, offset and entry of each fault.
    locations: Vec<String>,
    /// Records whose last value is lost.
    lost_records: BTreeSet<String>,
    /// Whole entries are lost, and nobody knows which records they held: any record may be lost but those that were
    /// written since.
    has_lost_entries: bool,
    written_since: BTreeSet<String>,
}

impl Corruption {
    /// Whether everything could be read.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Whether the last value of a record is lost, or may be.
    pub fn affects(&self, record: &str) -> bool {
        let may_be_lost = self.has_lost_entries && !self.written_since.contains(record);
        self.lost_records.contains(record) || may_be_lost
    }

    /// Each fault, with its file, its offset and its entry.
    pub fn locations(&self) -> &[String] {
        &self.locations
    }

    /// Whole entries are lost. Nothing is known of what they held; what is written after them is intact.
    pub(crate) fn add_lost_entries(&mut self, location: String) {
        self.locations.push(location);
        self.lost_records.clear();
        self.written_since.clear();
        self.has_lost_entries = true;
    }

    /// The value of one record is lost.
    pub(crate) fn add_lost_record(&mut self, location: String, record: &str) {
        self.locations.push(location);
        self.written_since.remove(record);
        self.lost_records.insert(record.to_owned());
    }

    /// A later value of a record was read.
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
