//! Load balancing: which endpoint a request goes to, and budgets that hold summed over all proxies without asking any.
//!
//! - [`LoadBalancer`] chooses an endpoint: two random choices, the less loaded one taken.
//! - [`RetryBudget`], [`SlowStart`] and [`CanaryQuota`] are one proxy's parts of bounds that hold over all proxies.
//! - [`LinkPacer`] spreads large responses over a thin link.
//!
//! No I/O; times are milliseconds of a steady clock where nothing else is said.

#![warn(missing_docs)]

mod budgets;
mod load_balancer;
mod subset;
mod upstream;

pub use budgets::{CanaryQuota, LinkPacer, RetryBudget, SlowStart, INITIAL_CANARY_TOKENS};
pub use load_balancer::{KeyAffinity, LoadBalancer, Pick, PickError, PickRequest};
pub use subset::{subset, ProxyPosition};
pub use upstream::{Upstream, VersionClass, EJECTION_MS};
