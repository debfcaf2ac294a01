//! Weighted rendezvous hashing: the ranking of endpoints for a key.

use rapidhash::v3::rapidhash_v3;

/// Distance between an endpoint and the proxy that ranks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the proxy's zone.
    SameZone,
    /// In another zone of the proxy's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Weight of endpoints in the proxy's zone, relative to 1 for those in other zones.
const ZONE_WEIGHT: f64 = 2.0;

/// The hash of a key of a service.
pub fn key_hash(service: &str, key: &[u8]) -> u64 {
    rapidhash_v3(key) ^ rapidhash_v3(service.as_bytes()).rotate_left(31)
}

/// The weight of an endpoint for a key. The endpoint with the highest weight ranks first.
///
/// Adding or removing an endpoint moves only the keys that it gains or loses. Endpoints in the proxy's zone have twice
/// the weight of those in other zones; those in other regions rank last.
pub fn rendezvous_weight(key: u64, endpoint: &str, proximity: Proximity) -> f64 {
    let hash = (rapidhash_v3(endpoint.as_bytes()) ^ key).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let weight = if proximity == Proximity::SameZone {
        ZONE_WEIGHT
    } else {
        1.0
    };
    // -w / ln(u) is positive; the negated reciprocal keeps all endpoints of other regions below those of this region.
    let score = -weight / uniform.ln();
    if proximity == Proximity::OtherRegion {
        -1.0 / score
    } else {
        score
    }
}

/// Ranks the endpoints for a key, highest weight first.
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
