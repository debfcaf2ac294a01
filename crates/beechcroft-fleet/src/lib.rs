//! What one relay does so that hundreds of them together do no harm, without I/O: time and chance come in, times and
//! places go out. Nothing here knows a task, a unit or a build, nor loosens a rule that the relay keeps alone.
//! `docs/design/fleet.md` tells what was seen and why it is so.

pub mod call_schedule;
pub mod load;
pub mod subset;
