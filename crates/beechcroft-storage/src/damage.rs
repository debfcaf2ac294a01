//! What of a folder could not be read though it had been synced.

use std::collections::BTreeSet;
use std::fmt;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Damage {
    /// File, offset and entry of each fault.
    places: Vec<String>,
    /// Records whose last value is lost.
    records: BTreeSet<String>,
    /// Of whole entries nobody knows what they held: any record may have been among them but those written since.
    entries: bool,
    since: BTreeSet<String>,
}

impl Damage {
    pub fn is_none(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether the last value of a record is lost, or may be.
    pub fn of(&self, record: &str) -> bool {
        self.records.contains(record) || (self.entries && !self.since.contains(record))
    }

    pub fn places(&self) -> &[String] {
        &self.places
    }

    /// Nothing is known of what was there; what is written after it stands.
    pub(crate) fn entries(&mut self, place: String) {
        self.places.push(place);
        self.records.clear();
        self.since.clear();
        self.entries = true;
    }

    pub(crate) fn record(&mut self, place: String, name: &str) {
        self.places.push(place);
        self.since.remove(name);
        self.records.insert(name.to_owned());
    }

    pub(crate) fn written(&mut self, name: &str) {
        self.records.remove(name);
        if self.entries {
            self.since.insert(name.to_owned());
        }
    }
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.places.join("; "))
    }
}
