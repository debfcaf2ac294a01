//! Token buckets and pacing: each proxy's part of limits that hold summed over all proxies.

/// Fraction of the configured retry budget that the proxies use.
const USED_BUDGET_SHARE: f64 = 0.75;
/// Fraction of the configured extra retries that the proxies together hold at start.
const INITIAL_EXTRA_SHARE: f64 = 0.5;
/// Maximum number of retry tokens of one proxy.
const MAX_RETRY_TOKENS: f64 = 5.0;
/// Canary tokens that all proxies together hold at start, before any request has earned one.
pub const INITIAL_CANARY_TOKENS: f64 = 10.0;
/// Maximum number of canary tokens of one proxy.
const MAX_CANARY_TOKENS: f64 = 1.5;

/// Retry budget of a service at one proxy: each request earns a fraction of a retry.
///
/// The limits hold without communication, also during a partition: fractions of each proxy's own requests sum to the
/// same fraction of all requests. Only the tokens that are held at start come on top, so they are taken from the rule's
/// extra retries, divided by the number of proxies.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_per_request: f64,
    capacity: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A full budget. `budget` (retries per request) and `extra` (retries) are those of the rule; `proxies` is the
    /// number of proxies that share them.
    pub fn new(budget: f64, extra: f64, proxies: usize) -> RetryBudget {
        let initial = extra * INITIAL_EXTRA_SHARE / proxies.max(1) as f64;
        let capacity = initial.clamp(0.0, MAX_RETRY_TOKENS);
        RetryBudget {
            earned_per_request: budget * USED_BUDGET_SHARE,
            capacity,
            tokens: capacity,
        }
    }

    /// Adds the tokens that a request earns.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.earned_per_request).min(self.capacity);
    }

    /// Takes a token for a retry; returns whether one was available.
    pub fn try_take(&mut self) -> bool {
        // If a proxy's share of the extra is less than one retry, a full bucket suffices and its balance goes negative.
        let is_available = self.tokens >= self.capacity.min(1.0) && self.capacity > 0.0;
        self.tokens -= f64::from(u8::from(is_available));
        is_available
    }
}

/// One proxy's share of the request rate that an endpoint can take during slow start.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    tokens: f64,
    updated_at: u64,
}

impl SlowStart {
    /// Takes a token for a request; returns whether one was available. `rate` is in requests per second; at most one
    /// token accumulates.
    pub fn try_take(&mut self, now: u64, rate: f64) -> bool {
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_s * rate).min(1.0);
        self.updated_at = now;
        let is_available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_available));
        is_available
    }
}

/// Paces the chunks of large responses at a fraction of the link's rate, so that small responses need not queue behind
/// them on a slow link.
#[derive(Clone, Debug, Default)]
pub struct LinkPacer {
    bytes_per_s: f64,
    /// Time at which the link becomes free, in microseconds.
    free_at_us: f64,
}

impl LinkPacer {
    /// A pacer for an idle link with this rate, in bytes per second.
    pub fn new(bytes_per_s: f64) -> LinkPacer {
        LinkPacer {
            bytes_per_s,
            free_at_us: 0.0,
        }
    }

    /// Reserves the link for a chunk of this size; returns the delay until its turn, in microseconds.
    pub fn reserve_us(&mut self, now_us: u64, bytes: usize) -> u64 {
        let now = now_us as f64;
        let start = self.free_at_us.max(now);
        self.free_at_us = start + bytes as f64 / self.bytes_per_s.max(1.0) * 1e6;
        (start - now) as u64
    }
}

/// Token bucket for the canary's share of a service's requests at one proxy: each request earns a fraction of a token,
/// each canary request spends one.
#[derive(Clone, Debug, Default)]
pub struct CanaryQuota {
    tokens: f64,
    /// The rollout and the stage in which `requests` are counted.
    counted_stage: (u64, u8),
    requests: u32,
}

impl CanaryQuota {
    /// A quota with a random number of initial tokens; `draw` is uniform in the range 0 to 1. If each of many proxies
    /// has few requests, none would earn a whole canary request for a long time. With random initial tokens, the
    /// proxies together make canary requests in proportion to all their requests.
    pub fn new(draw: f64, proxies: usize) -> CanaryQuota {
        let initial = (INITIAL_CANARY_TOKENS / proxies.max(1) as f64).min(1.0);
        CanaryQuota {
            tokens: draw * initial,
            ..CanaryQuota::default()
        }
    }

    /// Counts a request, and takes a token for a canary request; returns whether one was available. `share` is the
    /// canary's share of all requests.
    pub fn try_take(&mut self, share: f64) -> bool {
        self.requests = self.requests.saturating_add(1);
        if share >= 1.0 {
            return true;
        }
        self.tokens = (self.tokens + share).min(MAX_CANARY_TOKENS);
        let is_available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_available));
        is_available
    }

    /// Number of requests to the service in this stage of the rollout; starts at 0 in each stage.
    pub fn requests(&mut self, rollout: u64, stage: u8) -> u32 {
        if self.counted_stage != (rollout, stage) {
            self.counted_stage = (rollout, stage);
            self.requests = 0;
        }
        self.requests
    }

    /// Returns the token of a canary request that was not made.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }
}
