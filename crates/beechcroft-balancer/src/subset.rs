//! Which endpoints a proxy prefers: a subset for each proxy, so that few connections are needed and each endpoint hears
//! from few proxies.

/// Endpoints in a subset, at least.
const MIN_SUBSET: usize = 6;
/// Proxies whose subsets contain each endpoint, at least.
const MIN_PROXIES: usize = 2;

/// A proxy's position among the proxies of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyPosition {
    /// Its index, from 0.
    pub index: usize,
    /// How many there are.
    pub count: usize,
}

impl Default for ProxyPosition {
    fn default() -> Self {
        ProxyPosition { index: 0, count: 1 }
    }
}

/// A proxy's subset of endpoints in their order: windows of equal length, spread evenly. So each endpoint is in as many
/// subsets, and an endpoint or proxy more or less moves every window a little.
pub fn subset(endpoints: &[usize], position: ProxyPosition) -> Vec<usize> {
    let total = endpoints.len();
    let needed = (MIN_PROXIES * total).div_ceil(position.count);
    let length = MIN_SUBSET.max(needed).min(total);
    let start = position.index * total / position.count;
    (0..length)
        .map(|step| endpoints[(start + step) % total])
        .collect()
}
