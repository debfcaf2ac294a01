//! Which units live, drain, are cold: a mergeable table that any core machine may write and every relay holds.
//!
//! A unit's id is its life. Within a life what is known is ordered by state first (ready, draining, gone, none
//! of which turns back) and then by the sequence of its beats. A note says how long ago the beat was heard, so
//! that no two machines need the same clock. All times are milliseconds of the holder's own steady clock.

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Ranges over which two copies are compared.
pub const RANGES: usize = 16;
/// How long a unit that is gone is remembered, so that a late note does not bring it back.
const REMEMBER_MS: u64 = 600_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

/// What is known of a unit, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub capacity: u16,
    pub state: State,
    pub sequence: u64,
    /// At the time of the beat.
    pub warm_left_ms: u32,
    /// Since the beat was heard.
    pub age_ms: u32,
}

/// A unit as a holder knows it.
#[derive(Clone, Debug)]
pub struct Unit {
    pub note: Note,
    pub heard_at: u64,
    /// When it will be warm.
    pub warm_at: u64,
}

/// What merging a note did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Nothing that was not known.
    Old,
    /// A later beat; nothing else has changed.
    Beat,
    /// A unit that was not known, or a change of its state.
    Change,
}

#[derive(Clone, Debug, Default)]
pub struct Waymarks {
    units: BTreeMap<String, Unit>,
    ranges: [u32; RANGES],
}

fn range_of(id: &str) -> usize {
    rapidhash_v3(id.as_bytes()) as usize % RANGES
}

fn mark_of(id: &str, state: State) -> u32 {
    (rapidhash_v3(id.as_bytes())
        .rotate_left(17)
        .wrapping_mul(2 * state as u64 + 3)
        >> 32) as u32
}

impl Waymarks {
    pub fn merge(&mut self, now: u64, note: Note) -> News {
        let heard_at = now.saturating_sub(u64::from(note.age_ms));
        let warm_at = heard_at + u64::from(note.warm_left_ms);
        let range = range_of(&note.id);
        match self.units.get_mut(&note.id) {
            None => {
                self.ranges[range] ^= mark_of(&note.id, note.state);
                self.units.insert(
                    note.id.clone(),
                    Unit {
                        note,
                        heard_at,
                        warm_at,
                    },
                );
                News::Change
            }
            Some(unit) => {
                let (held, told) = (
                    (unit.note.state, unit.note.sequence),
                    (note.state, note.sequence),
                );
                if told.1 > held.1 {
                    // A later beat of any state shows that the unit was alive then.
                    (unit.note.sequence, unit.note.warm_left_ms) =
                        (note.sequence, note.warm_left_ms);
                    unit.heard_at = unit.heard_at.max(heard_at);
                    unit.warm_at = warm_at;
                }
                if told.0 > held.0 {
                    self.ranges[range] ^= mark_of(&note.id, held.0) ^ mark_of(&note.id, told.0);
                    unit.note.state = told.0;
                    return News::Change;
                }
                if told.1 > held.1 {
                    News::Beat
                } else {
                    News::Old
                }
            }
        }
    }

    /// Takes a word that a unit has ended; its beats are not counted any more.
    pub fn gone(&mut self, id: &str) -> bool {
        let Some(unit) = self
            .units
            .get_mut(id)
            .filter(|unit| unit.note.state != State::Gone)
        else {
            return false;
        };
        self.ranges[range_of(id)] ^= mark_of(id, unit.note.state) ^ mark_of(id, State::Gone);
        unit.note.state = State::Gone;
        true
    }

    /// The same of a unit that may not be known here: what others still tell of it comes too late.
    pub fn ends(&mut self, now: u64, id: &str) -> bool {
        if self.units.contains_key(id) {
            return self.gone(id);
        }
        let note = Note {
            id: id.to_owned(),
            service: String::new(),
            version: String::new(),
            zone: String::new(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            capacity: 0,
            state: State::Gone,
            sequence: 0,
            warm_left_ms: 0,
            age_ms: 0,
        };
        self.merge(now, note) == News::Change
    }

    /// Drops what has long been gone.
    pub fn sweep(&mut self, now: u64) {
        let ranges = &mut self.ranges;
        self.units.retain(|id, unit| {
            let keep = unit.note.state != State::Gone || unit.heard_at + REMEMBER_MS > now;
            if !keep {
                ranges[range_of(id)] ^= mark_of(id, State::Gone);
            }
            keep
        });
    }

    pub fn get(&self, id: &str) -> Option<&Unit> {
        self.units.get(id)
    }

    pub fn all(&self) -> impl Iterator<Item = &Unit> {
        self.units.values()
    }

    /// A digest of each range: equal copies have equal digests.
    pub fn digests(&self) -> [u32; RANGES] {
        self.ranges
    }

    /// A unit's note as it is told at that time.
    pub fn note(&self, now: u64, id: &str) -> Option<Note> {
        let unit = self.units.get(id)?;
        let age = now.saturating_sub(unit.heard_at).min(u64::from(u32::MAX)) as u32;
        Some(Note {
            age_ms: age,
            ..unit.note.clone()
        })
    }

    /// The ids in the ranges in which another copy differs.
    pub fn differing<'a>(&'a self, other: &'a [u32; RANGES]) -> impl Iterator<Item = &'a str> {
        let ids = self.units.keys().map(String::as_str);
        ids.filter(move |id| self.ranges[range_of(id)] != other[range_of(id)])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn note(id: &str, state: State, sequence: u64) -> Note {
        Note {
            id: id.into(),
            service: "s".into(),
            version: "v1".into(),
            zone: "z".into(),
            address: "10.0.0.1:80".parse().unwrap(),
            capacity: 2,
            state,
            sequence,
            warm_left_ms: 0,
            age_ms: 0,
        }
    }

    #[test]
    fn a_late_beat_does_not_turn_a_drain_back() {
        let mut marks = Waymarks::default();
        assert_eq!(marks.merge(0, note("i", State::Ready, 1)), News::Change);
        assert_eq!(marks.merge(10, note("i", State::Draining, 3)), News::Change);
        assert_eq!(marks.merge(20, note("i", State::Ready, 2)), News::Old);
        assert_eq!(marks.merge(20, note("i", State::Ready, 4)), News::Beat);
        assert_eq!(marks.get("i").unwrap().note.state, State::Draining);
        assert!(marks.gone("i"));
        assert_eq!(marks.merge(30, note("i", State::Draining, 9)), News::Beat);
        assert_eq!(marks.get("i").unwrap().note.state, State::Gone);
    }

    #[test]
    fn copies_that_took_the_same_notes_in_any_order_have_equal_digests() {
        let notes: Vec<Note> = (0..40)
            .flat_map(|i| {
                let id = format!("i-{}", i % 20);
                [
                    note(&id, State::Ready, 1),
                    note(
                        &id,
                        if i % 3 == 0 {
                            State::Draining
                        } else {
                            State::Ready
                        },
                        2,
                    ),
                ]
            })
            .collect();
        let (mut one, mut two) = (Waymarks::default(), Waymarks::default());
        for note in &notes {
            one.merge(0, note.clone());
        }
        for note in notes.iter().rev() {
            two.merge(5, note.clone());
        }
        assert_eq!(one.digests(), two.digests());
        two.gone("i-7");
        let theirs = two.digests();
        let differing: Vec<&str> = one.differing(&theirs).collect();
        assert!(differing.contains(&"i-7"));
        let theirs = one.digests();
        for id in two
            .differing(&theirs)
            .map(str::to_owned)
            .collect::<Vec<_>>()
        {
            one.merge(9, two.note(9, &id).unwrap());
        }
        assert_eq!(one.digests(), two.digests());
    }

    #[test]
    fn a_unit_told_of_late_is_as_warm_as_it_was_then() {
        let mut marks = Waymarks::default();
        marks.merge(
            10_000,
            Note {
                warm_left_ms: 3000,
                age_ms: 1000,
                ..note("i", State::Ready, 1)
            },
        );
        assert_eq!(marks.get("i").unwrap().warm_at, 12_000);
    }
}
