//! What one client's connection has seen of keys: lookups of a key stay where its last answer came from, or where
//! its own write was acknowledged, until all units are sure to hold what that unit held.

use std::rc::Rc;

/// Keys that a connection remembers; the oldest is forgotten.
const MOST: usize = 8;

#[derive(Clone, Debug, Default)]
pub struct Pins(Vec<(u64, Rc<str>, u64)>);

impl Pins {
    /// The unit that a key's next request on this connection goes to, if it is bound to one.
    pub fn unit(&self, now: u64, key: u64) -> Option<Rc<str>> {
        let held = self
            .0
            .iter()
            .find(|(of, _, until)| *of == key && *until > now);
        held.map(|(_, unit, _)| unit.clone())
    }

    /// A unit has answered. `fresh_ms`: within so long all units hold what one has acknowledged or shown.
    pub fn answered(&mut self, now: u64, key: u64, unit: &Rc<str>, fresh_ms: u64) {
        self.0.retain(|(of, _, until)| *of != key && *until > now);
        if self.0.len() >= MOST {
            self.0.remove(0);
        }
        if fresh_ms > 0 {
            self.0.push((key, unit.clone(), now + fresh_ms));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_stays_with_the_unit_that_answered_for_as_long_as_others_may_be_behind() {
        let mut pins = Pins::default();
        let (one, other): (Rc<str>, Rc<str>) = ("i-1".into(), "i-2".into());
        pins.answered(0, 7, &one, 500);
        assert_eq!(pins.unit(499, 7), Some(one.clone()));
        assert_eq!(pins.unit(500, 7), None);
        pins.answered(600, 7, &other, 500);
        assert_eq!(pins.unit(700, 7), Some(other));
        (0..20).for_each(|key| pins.answered(700, 100 + key, &one, 500));
        assert!(pins.0.len() <= MOST);
    }
}
