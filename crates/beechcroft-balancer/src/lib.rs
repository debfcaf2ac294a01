//! Load balancing: the choice of an endpoint for each request, and limits that hold summed over all proxies without
//! coordination.
//!
//! - [`LoadBalancer`] chooses an endpoint by the power of two random choices.
//! - [`RetryBudget`], [`SlowStart`] and [`CanaryQuota`] are one proxy's parts of limits on all proxies together.
//! - [`LinkPacer`] paces large responses over a slow link.
//!
//! No I/O. Times are milliseconds of a monotonic clock unless stated otherwise.

#![warn(missing_docs)]

mod budgets;
mod load_balancer;
mod subset;
mod upstream;

pub use budgets::{CanaryQuota, LinkPacer, RetryBudget, SlowStart, INITIAL_CANARY_TOKENS};
pub use load_balancer::{KeyAffinity, LoadBalancer, Pick, PickError, PickRequest};
pub use subset::{subset, ProxyPosition};
pub use upstream::{Upstream, VersionClass, EJECTION_MS};
