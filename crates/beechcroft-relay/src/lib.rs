//! A relay on real sockets around beechcroft's decisions: `wire` speaks with others, `memory` keeps what is held
//! while it runs, `life` is start and stop. `docs/design.md` tells how the parts fit.

pub mod life;
pub mod memory;
pub mod wire;
