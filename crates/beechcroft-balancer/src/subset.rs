//! Deterministic subsetting: each proxy prefers a subset of the endpoints, so that it needs few connections and each
//! endpoint serves few proxies.

/// Minimum number of endpoints in a subset.
const MIN_SUBSET: usize = 6;
/// Minimum number of proxies that have an endpoint in their subset.
const MIN_PROXIES: usize = 2;

/// The position of a proxy among the proxies of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyPosition {
    /// Index of the proxy, from 0.
    pub index: usize,
    /// Number of proxies in the region.
    pub count: usize,
}

impl Default for ProxyPosition {
    fn default() -> Self {
        ProxyPosition { index: 0, count: 1 }
    }
}

/// The subset of a proxy: a window of the ordered endpoints. The windows of all proxies have the same length and are
/// spread evenly, so that each endpoint is in about as many subsets, and adding or removing an endpoint or proxy moves
/// each window only a little.
pub fn subset(endpoints: &[usize], position: ProxyPosition) -> Vec<usize> {
    let total = endpoints.len();
    let needed = (MIN_PROXIES * total).div_ceil(position.count);
    let length = MIN_SUBSET.max(needed).min(total);
    let start = position.index * total / position.count;
    (0..length)
        .map(|step| endpoints[(start + step) % total])
        .collect()
}
