//! One proxy's parts of bounds that hold over all proxies together.

/// The share of the rule's budget that proxies use.
const BUDGET_SHARE: f64 = 0.75;
/// The share of the rule's extra retries that proxies may hold when they start.
const EXTRA_SHARE: f64 = 0.5;
/// Retries that one proxy may save at most.
const MAX_SAVED_RETRIES: f64 = 5.0;
/// Canary requests that all proxies together may hold before any was earned.
pub const INITIAL_CANARY_TOKENS: f64 = 10.0;
/// Canary requests that one proxy may save at most.
const MAX_SAVED_CANARY: f64 = 1.5;

/// Retries at a service: each request earns a share of one.
///
/// Shares of what a proxy was itself asked sum to that share of what all were asked, whoever is cut off. Only the few
/// that are held at the start do not, so they come out of the rule's own extra, divided by the proxies.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_per_request: f64,
    capacity: f64,
    tokens: f64,
}

impl RetryBudget {
    /// `budget` and `extra` as the rule has them; `proxies` that may draw on it.
    pub fn new(budget: f64, extra: f64, proxies: usize) -> RetryBudget {
        let share = extra * EXTRA_SHARE / proxies.max(1) as f64;
        let capacity = share.clamp(0.0, MAX_SAVED_RETRIES);
        RetryBudget {
            earned_per_request: budget * BUDGET_SHARE,
            capacity,
            tokens: capacity,
        }
    }

    /// A request was made.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.earned_per_request).min(self.capacity);
    }

    /// Takes a retry if there is one.
    pub fn try_take(&mut self) -> bool {
        // Where a proxy's share of the extra is less than one retry, it is taken on credit and earned back.
        let is_available = self.tokens >= self.capacity.min(1.0) && self.capacity > 0.0;
        self.tokens -= f64::from(u8::from(is_available));
        is_available
    }
}

/// One proxy's share of the rate that an endpoint bears while it warms up.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    tokens: f64,
    updated_at: u64,
}

impl SlowStart {
    /// Takes a request if there is one: `rate` a second, and no more than one at a time.
    pub fn try_take(&mut self, now: u64, rate: f64) -> bool {
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_s * rate).min(1.0);
        self.updated_at = now;
        let is_available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_available));
        is_available
    }
}

/// Paces large responses over a thin link, so that small ones need not queue behind them: bytes are given out piece by
/// piece, at a share of the link's rate.
#[derive(Clone, Debug, Default)]
pub struct LinkPacer {
    bytes_per_s: f64,
    /// When the link is free again, in microseconds.
    free_at_us: f64,
}

impl LinkPacer {
    /// A pacer at this rate.
    pub fn new(bytes_per_s: f64) -> LinkPacer {
        LinkPacer {
            bytes_per_s,
            free_at_us: 0.0,
        }
    }

    /// How long a piece has to wait for its turn, in microseconds.
    pub fn reserve_us(&mut self, now_us: u64, bytes: usize) -> u64 {
        let now = now_us as f64;
        let start = self.free_at_us.max(now);
        self.free_at_us = start + bytes as f64 / self.bytes_per_s.max(1.0) * 1e6;
        (start - now) as u64
    }
}

/// The canary's share of a service's requests: each request earns a part, each canary request spends one.
#[derive(Clone, Debug, Default)]
pub struct CanaryQuota {
    tokens: f64,
    /// The rollout and its stage that requests are counted for.
    counted_stage: (u64, u8),
    requests: u32,
}

impl CanaryQuota {
    /// `draw`: evenly from 0 to 1. Where each of many proxies is asked little, none would earn a whole canary request for
    /// long. Starting somewhere between two of them, canary requests come as often as all proxies are asked.
    pub fn new(draw: f64, proxies: usize) -> CanaryQuota {
        let credit = (INITIAL_CANARY_TOKENS / proxies.max(1) as f64).min(1.0);
        CanaryQuota {
            tokens: draw * credit,
            ..CanaryQuota::default()
        }
    }

    /// Counts a request, and takes a canary request if there is one. `share`: of all requests.
    pub fn try_take(&mut self, share: f64) -> bool {
        self.requests = self.requests.saturating_add(1);
        if share >= 1.0 {
            return true;
        }
        self.tokens = (self.tokens + share).min(MAX_SAVED_CANARY);
        let is_available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_available));
        is_available
    }

    /// Requests to the service in a stage of a rollout, so far.
    pub fn requests(&mut self, rollout: u64, stage: u8) -> u32 {
        if self.counted_stage != (rollout, stage) {
            self.counted_stage = (rollout, stage);
            self.requests = 0;
        }
        self.requests
    }

    /// A canary request that was taken was not made.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }
}
