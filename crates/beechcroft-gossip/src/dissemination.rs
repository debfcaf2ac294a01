//! Dissemination: the queue of updates, the choice of receivers, and the composition of messages.

use crate::gossip::{Action, Gossip};
use crate::message::{
    AlarmUpdate, Heartbeat, HotKeyUpdate, Item, Member, MemberState, Message, QuorumReadAge,
    RangeDigests, Sender, SettledTables, TableDigests,
};
use beechcroft_outlier::Observation;
use beechcroft_registry::{EndpointRecord, EndpointState};
use rand::RngExt;
use std::net::SocketAddrV4;

/// Number of nodes that each flush of the queue sends to.
const FANOUT: usize = 3;
/// Number of flushes in which a node sends an update that it has learned.
const TRANSMISSIONS: u8 = 2;
/// Number of flushes for the update of an endpoint that is draining or gone: rare, and to be known everywhere soon.
const URGENT_TRANSMISSIONS: u8 = 4;
/// Interval between flushes of the queue, in milliseconds.
const FLUSH_INTERVAL_MS: u64 = 80;
/// Share of messages that go to other regions, if there are any. It is low because traffic between regions is the most
/// expensive.
pub(crate) const CROSS_REGION_SHARE: f64 = 0.3;
/// Time without changes after which the table of members counts as settled, in milliseconds. A table that changed more
/// recently is not compared, because the change is probably still being disseminated.
const MEMBERS_SETTLE_MS: u64 = 300;
/// Settling time of the registry of endpoints, in milliseconds. It is shorter because drains must not be delayed.
const ENDPOINTS_SETTLE_MS: u64 = 80;
/// Maximum size of the items in a message, in bytes. With the digests, the datagram stays below the smallest usual MTU.
const MAX_ITEM_BYTES: usize = 1000;

/// A queued update. Members, endpoints and heartbeats are queued by name, so that the newest state is sent.
#[derive(Clone, PartialEq)]
pub(crate) enum Update {
    Member(String),
    Endpoint(String),
    Heartbeat(String),
    Alarm(AlarmUpdate),
    HotKeys(HotKeyUpdate),
    Observation(Observation),
}

impl Update {
    /// Whether this update supersedes an earlier one in the queue.
    fn replaces(&self, earlier: &Update) -> bool {
        match (earlier, self) {
            (Update::Alarm(earlier), Update::Alarm(new)) => {
                (&earlier.proxy, &earlier.service) == (&new.proxy, &new.service)
            }
            (Update::HotKeys(earlier), Update::HotKeys(new)) => {
                (&earlier.proxy, &earlier.service) == (&new.proxy, &new.service)
            }
            (Update::Observation(earlier), Update::Observation(new)) => {
                (&earlier.proxy, &earlier.service) == (&new.proxy, &new.service)
            }
            _ => earlier == self,
        }
    }
}

/// An update, and the number of flushes that are still to send it.
pub(crate) struct QueuedUpdate {
    update: Update,
    transmissions_left: u8,
}

impl Gossip {
    /// Queues an update in place of those that it supersedes.
    pub(crate) fn enqueue(&mut self, update: Update) {
        self.queue.retain(|queued| !update.replaces(&queued.update));
        let transmissions_left = if self.is_urgent(&update) {
            URGENT_TRANSMISSIONS
        } else {
            TRANSMISSIONS
        };
        self.queue.push_back(QueuedUpdate {
            update,
            transmissions_left,
        });
    }

    fn is_urgent(&self, update: &Update) -> bool {
        let Update::Endpoint(id) = update else {
            return false;
        };
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| endpoint.record.state != EndpointState::Ready)
    }

    /// Sends queued updates if a flush is due.
    pub(crate) fn flush_if_due(&mut self, now: u64, actions: &mut Vec<Action>) {
        if now < self.next_flush {
            return;
        }
        self.next_flush = now + FLUSH_INTERVAL_MS;
        if !self.queue.is_empty() {
            self.flush(now, FANOUT, false, actions);
        }
    }

    /// Sends queued updates immediately, to twice as many nodes as usual and without preference for the own region.
    pub fn flush_now(&mut self, now: u64, actions: &mut Vec<Action>) {
        self.flush(now, 2 * FANOUT, true, actions);
    }

    fn flush(&mut self, now: u64, fanout: usize, all_regions: bool, actions: &mut Vec<Action>) {
        let items = self.take_queued_items(now);
        let mut same_region: Vec<SocketAddrV4> = Vec::new();
        let mut other_regions: Vec<SocketAddrV4> = Vec::new();
        for member in self.live_members() {
            let group = if all_regions || member.region == self.local.region {
                &mut same_region
            } else {
                &mut other_regions
            };
            group.push(self.address(member));
        }
        for _ in 0..fanout {
            let crosses_regions =
                same_region.is_empty() || self.rng.random_bool(CROSS_REGION_SHARE);
            let group = if crosses_regions && !other_regions.is_empty() {
                &mut other_regions
            } else {
                &mut same_region
            };
            if group.is_empty() {
                continue;
            }
            let to = group.swap_remove(self.rng.random_range(0..group.len()));
            if crosses_regions && !all_regions {
                // Hot keys are shared only within a region.
                let is_exported = |item: &&Item| !matches!(item, Item::HotKeys(_));
                let items: Vec<Item> = items.iter().filter(is_exported).cloned().collect();
                if !items.is_empty() {
                    self.send(to, &items, false, None, actions);
                }
            } else {
                self.send(to, &items, false, None, actions);
            }
        }
    }

    /// Returns the items of all queued updates, and keeps those in the queue that are to be sent again.
    fn take_queued_items(&mut self, now: u64) -> Vec<Item> {
        let mut items = Vec::new();
        for QueuedUpdate {
            update,
            transmissions_left,
        } in std::mem::take(&mut self.queue)
        {
            items.extend(self.item_of(now, &update));
            if transmissions_left > 1 {
                self.queue.push_back(QueuedUpdate {
                    update,
                    transmissions_left: transmissions_left - 1,
                });
            }
        }
        items
    }

    /// The item to send for an update; `None` if the endpoint or member is no longer in its table.
    fn item_of(&self, now: u64, update: &Update) -> Option<Item> {
        match update {
            Update::Member(name) if *name == self.local.name => {
                Some(Item::Member(self.local.clone()))
            }
            Update::Member(name) => self.member(name).cloned().map(Item::Member),
            Update::Endpoint(id) => self.endpoints.record(now, id).map(Item::Endpoint),
            Update::Heartbeat(id) => self.endpoints.record(now, id).map(|record| {
                let EndpointRecord {
                    id,
                    sequence,
                    warmup_left_ms,
                    age_ms,
                    ..
                } = record;
                Item::Heartbeat(Heartbeat {
                    id,
                    sequence,
                    warmup_left_ms,
                    age_ms,
                })
            }),
            Update::Alarm(update) => Some(Item::Alarm(update.clone())),
            Update::HotKeys(update) => Some(Item::HotKeys(update.clone())),
            Update::Observation(observation) => Some(Item::Observation(observation.clone())),
        }
    }

    /// Sends items in as many messages as they need, at least one. Only the first message requests a response and
    /// carries the range digests.
    pub(crate) fn send(
        &self,
        to: SocketAddrV4,
        items: &[Item],
        wants_response: bool,
        ranges: Option<&RangeDigests>,
        actions: &mut Vec<Action>,
    ) {
        let (mut rest, mut wants_response, mut ranges) = (items, wants_response, ranges.cloned());
        loop {
            let mut bytes = 0;
            let fitting = rest.iter().take_while(|item| {
                bytes += item.size_hint();
                bytes <= MAX_ITEM_BYTES
            });
            let (now, later) = rest.split_at(fitting.count().max(1).min(rest.len()));
            let message = Message {
                sender: self.sender(),
                wants_response,
                digests: self.table_digests(),
                ranges: ranges.take(),
                items: now.to_vec(),
            };
            actions.push(Action::Send { to, message });
            (rest, wants_response) = (later, false);
            if rest.is_empty() {
                return;
            }
        }
    }

    fn sender(&self) -> Sender {
        let Member {
            name,
            incarnation,
            version,
            state,
            ..
        } = &self.local;
        let (incarnation, version, state): (u64, u32, MemberState) =
            (*incarnation, *version, *state);
        Sender {
            name: name.clone(),
            incarnation,
            version,
            state,
        }
    }

    /// Digests by hash range of this node's tables.
    pub(crate) fn range_digests(&self) -> RangeDigests {
        RangeDigests {
            members: self.member_digests,
            endpoints: self.endpoints.digests(),
        }
    }

    /// The summary of this node's tables and registers that goes into each message.
    pub(crate) fn table_digests(&self) -> TableDigests {
        let ranges = self.range_digests();
        let age = |at| self.clock.saturating_sub(at).min(u64::from(u32::MAX)) as u32;
        TableDigests {
            members: ranges.of_members(),
            endpoints: ranges.of_endpoints(),
            revisions: self.revisions,
            settled: SettledTables {
                members: self.clock >= self.members_changed_at + MEMBERS_SETTLE_MS,
                endpoints: self.clock >= self.endpoints_changed_at + ENDPOINTS_SETTLE_MS,
            },
            quorum_read: self.quorum_read.map(|read| QuorumReadAge {
                age_ms: age(read.at),
                revision: read.revision,
            }),
        }
    }
}
