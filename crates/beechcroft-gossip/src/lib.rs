//! Gossip among the nodes: membership, failure detection and dissemination.
//!
//! Every node, control node or proxy, holds the table of members and the registry of endpoints. The package has one
//! state machine without I/O, [`Gossip`]: time and [`Message`]s go in, [`Action`]s come out. Each message is one
//! datagram.
//!
//! - **Dissemination** (epidemic broadcast): an update is passed on to a few nodes that are drawn anew each time, a
//!   few times over.
//! - **Anti-entropy**: every message carries digests of the sender's tables. Where they differ, the two nodes compare
//!   digests over hash ranges and exchange what lies in the ranges that differ.
//! - **Failure detection**: rendezvous hashing names the few nodes that watch each node. A watcher whose pings go
//!   unanswered reports the node as down; a node that is reported falsely refutes that with a higher version.
//! - **Quorum contact**: control nodes ping the holders of all replicas. [`QuorumContact`] says whether a majority has
//!   answered of late.
//!
//! `docs/design/gossip.md` weighs the alternatives. The scheme follows Demers et al., "Epidemic Algorithms for
//! Replicated Database Maintenance" (1987), and Das et al., "SWIM" (2002), section 4.2 for refutation by incarnation.

#![warn(missing_docs)]

mod contact;
mod dissemination;
mod failure_detection;
mod gossip;
pub mod message;
mod receive;

pub use contact::{Quorum, QuorumContact, CONTACT_TIMEOUT_MS, PING_INTERVAL_MS};
pub use gossip::{Action, Gossip, HEARTBEATS_PER_UPDATE};
pub use message::{
    AlarmUpdate, EndpointCount, Heartbeat, HotKeyUpdate, Item, Member, MemberState, Message,
    QuorumReadAge, RangeDigests, Sender, SettledTables, TableDigests,
};
