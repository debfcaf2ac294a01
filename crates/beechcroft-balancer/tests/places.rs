//! Requests that keep to places, where no unit can be ranked.

use beechcroft_balancer::yard::{Keyed, Place, Side, Want, Why, Yard};

fn cold_yard(rate: f64) -> Yard {
    let mut yard = Yard::new("west", "w1", 7);
    for id in ["i-0", "i-1"] {
        let mut place = Place::new(id, "10.0.0.1:80".parse().unwrap(), "w1", "west", "v1", 2);
        (place.side, place.open_to_all) = (Side::Base, true);
        (place.warm_at, place.cold_rate) = (3000, rate);
        yard.add("s", place);
    }
    yard
}

#[test]
fn a_key_with_places_goes_by_the_bound_of_cold_units_when_all_are_cold() {
    for (places, sole) in [(1, false), (2, false), (1, true)] {
        let mut keyed = Keyed {
            key: 77,
            places,
            ..Keyed::default()
        };
        keyed.sole = sole;
        let want = Want {
            side: Side::Base,
            homes: &[],
            priority: 0,
            bulk: false,
            agreed: false,
            keyed: Some(keyed),
            tried: &[],
        };
        let sent = (0..1000)
            .filter(|&now| cold_yard(0.0).choose(now, "s", &want).is_ok())
            .count();
        assert_eq!(sent, 0, "units that bear nothing");
        assert_eq!(cold_yard(0.0).choose(0, "s", &want), Err(Why::Full));
        let mut yard = cold_yard(2.0);
        let sent = (0..1000)
            .filter(|&now| yard.choose(now, "s", &want).is_ok())
            .count();
        assert!(
            (2..=4).contains(&sent),
            "{sent} requests in a second to two units that bear 2 each"
        );
    }
}
