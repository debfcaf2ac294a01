//! Dissemination: the queue of updates, and how messages are composed.

use crate::gossip::{Action, Gossip};
use crate::message::{
    AlarmUpdate, Heartbeat, HotKeyUpdate, Item, Member, MemberState, Message, QuorumReadAge,
    RangeDigests, Sender, SettledTables, TableDigests,
};
use beechcroft_outlier::Observation;
use beechcroft_registry::{EndpointRecord, EndpointState};
use rand::RngExt;
use std::net::SocketAddrV4;

/// The number of nodes that queued updates are sent to each time.
const FANOUT: usize = 3;
/// How often a node that learned an update passes it on.
const ROUNDS: u8 = 2;
/// The same for an endpoint that drains or has ended, which is rare and must be known everywhere soon.
const URGENT_ROUNDS: u8 = 4;
/// Between two times that queued updates are sent, in milliseconds.
const FLUSH_INTERVAL_MS: u64 = 80;
/// The share of what goes to other regions, where there are any: bytes between regions cost most.
pub(crate) const CROSS_REGION_SHARE: f64 = 0.3;
/// A table of members that changed less long ago is not compared: the change is still on its way. In milliseconds.
const MEMBERS_SETTLE_MS: u64 = 300;
/// The same for endpoints, whose drains must not wait.
const ENDPOINTS_SETTLE_MS: u64 = 80;
/// Bytes of items in a message. With the rest it stays under the smallest usual packet size.
const MESSAGE_BYTES: usize = 1000;

/// An update that is to be passed on. What can be looked up is named, so that the newest state is sent.
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
    /// Whether this update makes an earlier one superfluous.
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

/// An update, and how often it is still to be sent.
pub(crate) struct QueuedUpdate {
    update: Update,
    rounds_left: u8,
}

impl Gossip {
    /// Queues an update.
    pub(crate) fn enqueue(&mut self, update: Update) {
        self.queue.retain(|queued| !update.replaces(&queued.update));
        let rounds_left = if self.is_urgent(&update) {
            URGENT_ROUNDS
        } else {
            ROUNDS
        };
        self.queue.push_back(QueuedUpdate {
            update,
            rounds_left,
        });
    }

    fn is_urgent(&self, update: &Update) -> bool {
        let Update::Endpoint(id) = update else {
            return false;
        };
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| endpoint.record.state != EndpointState::Ready)
    }

    /// Sends queued updates if their time has come.
    pub(crate) fn flush_if_due(&mut self, now: u64, actions: &mut Vec<Action>) {
        if now < self.next_flush {
            return;
        }
        self.next_flush = now + FLUSH_INTERVAL_MS;
        if !self.queue.is_empty() {
            self.flush(now, FANOUT, false, actions);
        }
    }

    /// Sends queued updates at once, to more nodes than usual and to all regions alike.
    pub fn flush_now(&mut self, now: u64, actions: &mut Vec<Action>) {
        self.flush(now, 2 * FANOUT, true, actions);
    }

    fn flush(&mut self, now: u64, fanout: usize, is_global: bool, actions: &mut Vec<Action>) {
        let items = self.take_queued_items(now);
        let (mut near, mut far): (Vec<SocketAddrV4>, Vec<SocketAddrV4>) = (Vec::new(), Vec::new());
        for member in self.live_members() {
            let is_near = is_global || member.region == self.local.region;
            let group = if is_near { &mut near } else { &mut far };
            group.push(self.address(member));
        }
        for _ in 0..fanout {
            let prefers_far = near.is_empty() || self.rng.random_bool(CROSS_REGION_SHARE);
            let group = if prefers_far && !far.is_empty() {
                &mut far
            } else {
                &mut near
            };
            if group.is_empty() {
                continue;
            }
            let to = group.swap_remove(self.rng.random_range(0..group.len()));
            if prefers_far && !is_global {
                // Hot keys are the region's own.
                let is_for_all = |item: &&Item| !matches!(item, Item::HotKeys(_));
                let items: Vec<Item> = items.iter().filter(is_for_all).cloned().collect();
                if !items.is_empty() {
                    self.send(to, &items, false, None, actions);
                }
            } else {
                self.send(to, &items, false, None, actions);
            }
        }
    }

    /// The items of all queued updates; those with rounds left stay in the queue.
    fn take_queued_items(&mut self, now: u64) -> Vec<Item> {
        let mut items = Vec::new();
        for QueuedUpdate {
            update,
            rounds_left,
        } in std::mem::take(&mut self.queue)
        {
            items.extend(self.item_of(now, &update));
            if rounds_left > 1 {
                self.queue.push_back(QueuedUpdate {
                    update,
                    rounds_left: rounds_left - 1,
                });
            }
        }
        items
    }

    /// The item that an update sends now; `None` for an endpoint that was forgotten meanwhile.
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

    /// Sends items in as many messages as they need. Only the first one asks for a response and carries ranges.
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
                bytes <= MESSAGE_BYTES
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

    pub(crate) fn range_digests(&self) -> RangeDigests {
        RangeDigests {
            members: self.member_digests,
            endpoints: self.endpoints.digests(),
        }
    }

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
