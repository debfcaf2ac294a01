//! The wires of the system. Calls of units, operators, clients that ask where to go, and relays among each
//! other go through async-h1 behind a guard ([`desk`], [`errand`]). Requests that are carried go through
//! [`line`], whose heads are read by httparse (the parser under async-h1) and whose bodies are counted against
//! the head's own words: `docs/design/transport.md` has the table of what async-h1 does with each hazard.

pub mod calls;
pub mod desk;
pub mod errand;
pub mod ground;
pub mod guard;
pub mod lifecycle;
pub mod line;
pub mod post;
mod wire;

pub use ground::{Ground, Stream};
pub use wire::Wire;
