//! Gossip among the nodes: membership, failure detection and dissemination of updates.
//!
//! Every node, control node or proxy, holds the table of members and the registry of endpoints. Both programs drive
//! the same state machine, [`Gossip`], which performs no I/O: time and [`Message`]s go in, [`Action`]s come out. Each
//! message is one datagram.
//!
//! - **Dissemination** (epidemic broadcast): an update is sent a few times, each time to a few randomly chosen nodes.
//! - **Anti-entropy**: every message carries digests of the sender's tables. Where they differ, the two nodes compare
//!   digests by hash range and exchange the entries of the ranges that differ.
//! - **Failure detection**: rendezvous hashing assigns a few watchers to each node. A watcher whose pings go
//!   unanswered reports the node as down; a node that was reported falsely refutes the report with a higher version.
//! - **Quorum contact**: control nodes ping the holders of all replicas. [`QuorumContact`] tells whether a majority
//!   has answered recently.
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
