//! Weighted rendezvous hashing: which endpoints serve a key.

use rapidhash::v3::rapidhash_v3;

/// How near an endpoint is to the proxy that ranks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the same zone.
    SameZone,
    /// In another zone of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// The weight of endpoints in the proxy's own zone, over those of other zones.
const ZONE_WEIGHT: f64 = 2.0;

/// The hash of a service's key.
pub fn key_hash(service: &str, key: &[u8]) -> u64 {
    rapidhash_v3(key) ^ rapidhash_v3(service.as_bytes()).rotate_left(31)
}

/// The weight of an endpoint for a key: the endpoint with the highest weight comes first.
///
/// An endpoint that comes or goes moves only the keys that it gets or had. Endpoints of the zone weigh twice, those of
/// other regions come last.
pub fn rendezvous_weight(key: u64, endpoint: &str, proximity: Proximity) -> f64 {
    let hash = (rapidhash_v3(endpoint.as_bytes()) ^ key).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let weight = if proximity == Proximity::SameZone {
        ZONE_WEIGHT
    } else {
        1.0
    };
    // -w / ln(u) is above 0; the weights of far endpoints all stay below those of near ones.
    let score = -weight / uniform.ln();
    if proximity == Proximity::OtherRegion {
        -1.0 / score
    } else {
        score
    }
}

/// The endpoints of a key, first to last.
pub fn rank_endpoints<'a, E>(
    key: u64,
    endpoints: impl Iterator<Item = (E, &'a str, Proximity)>,
) -> Vec<E> {
    let mut ranked: Vec<(f64, E)> = endpoints
        .map(|(endpoint, id, proximity)| (rendezvous_weight(key, id, proximity), endpoint))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    ranked.into_iter().map(|(_, endpoint)| endpoint).collect()
}
