//! Bindings of keys to endpoints on one connection.

use beechcroft_hotkeys::SessionAffinity;
use std::rc::Rc;

#[test]
fn a_key_stays_at_the_endpoint_that_responded_while_others_may_be_stale() {
    let mut affinity = SessionAffinity::default();
    let (one, other): (Rc<str>, Rc<str>) = ("i-1".into(), "i-2".into());
    affinity.on_response(0, 7, &one, 500);
    assert_eq!(affinity.endpoint(499, 7), Some(one.clone()));
    assert_eq!(affinity.endpoint(500, 7), None);
    affinity.on_response(600, 7, &other, 500);
    assert_eq!(affinity.endpoint(700, 7), Some(other));
    (0..20).for_each(|key| affinity.on_response(700, 100 + key, &one, 500));
    assert!(affinity.len() <= SessionAffinity::CAPACITY);
}
