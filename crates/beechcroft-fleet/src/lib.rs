//! What a single relay does so that hundreds of relays together do not overload a unit or the platform: it sends its
//! tasks to a subset of the units, estimates their load, and paces its calls to the platform.
//!
//! The package does no I/O: time and random numbers come in, points in time and unit positions go out. It knows nothing
//! of tasks, units or builds, and it relaxes no rule that a relay keeps on its own. The callers are the root library
//! and the relay; `docs/design/fleet.md` gives the observations and reasons behind it.

pub mod call_schedule;
pub mod load;
pub mod subset;
