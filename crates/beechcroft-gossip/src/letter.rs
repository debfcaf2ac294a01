//! What relays tell each other in datagrams.

use beechcroft_outlier::Word;
use beechcroft_registry::{Note, RANGES};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Ranges over which two tables of members are compared.
pub const MEMBER_RANGES: usize = 8;

/// How a relay stands. A later standing outranks an earlier one at the same mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// It has no configuration or knows no units yet.
    Coming,
    Ready,
    Leaving,
    /// Its watchers have no answer from it.
    Down,
}

/// A relay, as it says of itself or as others say.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub ip: Ipv4Addr,
    pub core: bool,
    pub quorum: bool,
    pub region: String,
    pub zone: String,
    pub ingress: Option<SocketAddrV4>,
    pub control: Option<SocketAddrV4>,
    /// The start of its process, in ms since 1970 by its own clock.
    pub incarnation: u64,
    /// Rises with each thing it says of itself.
    pub mark: u32,
    pub standing: Standing,
}

impl Member {
    pub fn rank(&self) -> (u64, u32, Standing) {
        (self.incarnation, self.mark, self.standing)
    }

    pub fn range(&self) -> usize {
        rapidhash_v3(self.name.as_bytes()) as usize % MEMBER_RANGES
    }

    pub fn digest(&self) -> u32 {
        let rank = self.incarnation ^ (u64::from(self.mark) << 44) ^ ((self.standing as u64) << 60);
        (rapidhash_v3(self.name.as_bytes()) ^ rank)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(29) as u32
    }
}

/// One relay's bit and divergence on a rollout (the design's one-bit weighted alarm).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sign {
    pub relay: String,
    pub incarnation: u64,
    pub count: u32,
    pub service: String,
    /// The rollout's begin and stage that the sign speaks of.
    pub begun: u64,
    pub stage: u8,
    /// For how long the relay has known of the stage.
    pub stage_ms: u32,
    pub alarm: bool,
    /// Expected log ratio a tick, in nats.
    pub divergence: f32,
    /// Trial outcomes and failures among them, of this stage.
    pub trials: u32,
    pub failures: u32,
    /// Requests to the service in this stage, of either version.
    pub asked: u32,
    /// The rate of failures of the earlier version here.
    pub good: f32,
    /// Requests still open at units of the earlier version.
    pub old_open: u32,
    /// By unit of the version on trial: its short name, trials, failures.
    pub units: Vec<(u16, u16, u16)>,
    /// How long answers of the earlier version took here, by bin, up to the last one that holds any.
    pub times: Vec<u16>,
}

/// A later beat of a unit that is known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    pub id: String,
    pub sequence: u64,
    pub warm_left_ms: u32,
    pub age_ms: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    Member(Member),
    Unit(Note),
    Beat(Beat),
    Sign(Sign),
    Crowd(Crowded),
    Seen(Word),
    /// A hut asks whether its letters come; the number goes back with the answer.
    Ping(u32),
    /// With it, whether the one that answers is in contact with a majority itself.
    Pong(u32, bool),
}

/// What a relay tells of a service's keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crowded {
    pub relay: String,
    pub incarnation: u64,
    pub count: u32,
    pub service: String,
    pub word: beechcroft_hotkeys::Word,
}

impl Item {
    /// About how many bytes it takes.
    pub fn bytes(&self) -> usize {
        match self {
            Item::Member(m) => 40 + m.name.len() + m.region.len() + m.zone.len(),
            Item::Unit(n) => 30 + n.id.len() + n.service.len() + n.version.len() + n.zone.len(),
            Item::Beat(b) => 10 + b.id.len(),
            Item::Ping(_) | Item::Pong(..) => 7,
            Item::Seen(w) => {
                24 + w.relay.len() + w.region.len() + w.service.len() + 11 * w.units.len()
            }
            Item::Crowd(c) => 24 + c.relay.len() + c.service.len() + 14 * c.word.keys.len(),
            Item::Sign(s) => 40 + s.relay.len() + s.service.len() + 6 * s.units.len(),
        }
    }
}

/// Who writes, and how it stands; what else is to be known of it stands in the table of members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Who {
    pub name: String,
    pub incarnation: u64,
    pub mark: u32,
    pub standing: Standing,
}

/// Digests of whole tables, and how often the registers have changed: what every letter carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    pub members: u32,
    pub units: u32,
    pub revisions: [u64; 2],
    /// The tables of members and of units have not changed for a moment: what differs is not just on its way.
    pub settled: [bool; 2],
    /// Since some hut last had a round of orders chosen, as far as this relay knows, and which change of them it was.
    pub touch: Option<(u32, u64)>,
}

/// Digests by range: told where the sums differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranges {
    pub members: [u32; MEMBER_RANGES],
    pub units: [u32; RANGES],
}

impl Ranges {
    /// The digests of the whole tables.
    pub fn sums(&self) -> (u32, u32) {
        let fold = |ranges: &[u32]| {
            ranges
                .iter()
                .fold(0u32, |sum, &range| sum.rotate_left(5).wrapping_add(range))
        };
        (fold(&self.members), fold(&self.units))
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Letter {
    pub from: Who,
    /// Whether an answer is asked for.
    pub ask: bool,
    pub sums: Sums,
    pub ranges: Option<Ranges>,
    pub items: Vec<Item>,
}
