//! Heartbeats and departures of units. A departure, that is, a drain or deregistration, is acknowledged once a majority of
//! the nodes that hold replicas has it on disk.
//!
//! After the acknowledgement, every proxy in contact with the control plane learns of the departure, whichever nodes are
//! lost or isolated, and also after every process was killed or lost power: the departed unit may serve on without
//! sending heartbeats, so nobody else would report it again.

use super::command::Acknowledgement;
use super::{Command, StateOwner};
use beechcroft_error::{Error, ErrorKind};
use beechcroft_gossip::Action;
use beechcroft_registry::{EndpointRecord, EndpointRegistry, EndpointState, MergeOutcome};
use beechcroft_safeguards::Safeguard;
use beechcroft_transport::rpc::paths;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// How long a majority may take to store a departure. It is below the second after which the unit retries on another
/// node.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// States of endpoints that a majority of the nodes that hold replicas is known to have on disk.
#[derive(Default)]
pub(super) struct MajorityStates(BTreeMap<String, EndpointState>);

impl MajorityStates {
    /// Notes that a majority has the state of an endpoint on disk.
    pub(super) fn record(&mut self, id: String, state: EndpointState) {
        self.0.insert(id, state);
    }

    /// Drops what is known of endpoints that the registry no longer contains.
    pub(super) fn forget_expired(&mut self, endpoints: &EndpointRegistry) {
        self.0.retain(|id, _| endpoints.get(id).is_some());
    }

    /// Whether a majority is known to have this state of an endpoint, or a later one, on disk.
    fn contains(&self, id: &str, state: EndpointState) -> bool {
        self.0.get(id).is_some_and(|known| *known >= state)
    }
}

impl StateOwner {
    /// Handles the heartbeat of a unit.
    pub(super) fn on_heartbeat(
        &mut self,
        now: u64,
        record: EndpointRecord,
        done: oneshot::Sender<Acknowledgement>,
        actions: &mut Vec<Action>,
    ) {
        if let Err(error) = self.check_may_serve(now) {
            let _ = done.send(Err(error));
            return;
        }
        let (id, state) = (record.id.clone(), record.state);
        let outcome = self.gossip.record_heartbeat(now, record);
        let is_changed = outcome == MergeOutcome::Changed;
        self.checkpoint.changed.endpoints |= is_changed;
        if outcome == MergeOutcome::Warmup {
            self.store_warmup(now, &id);
        }
        // A drain that is already known here may have arrived through a node that could not acknowledge it.
        let is_drain = state != EndpointState::Ready
            && (is_changed || Safeguard::RepeatedDrainOnMajority.is_enabled());
        if is_drain {
            self.store_on_majority(now, &id, state, done, actions);
        } else {
            let _ = done.send(Ok(()));
        }
    }

    /// Handles the deregistration of a unit.
    pub(super) fn on_deregister(
        &mut self,
        now: u64,
        id: &str,
        done: oneshot::Sender<Acknowledgement>,
        actions: &mut Vec<Action>,
    ) {
        if let Err(error) = self.check_may_serve(now) {
            let _ = done.send(Err(error));
            return;
        }
        self.checkpoint.changed.endpoints |= self.gossip.deregister_endpoint(now, id);
        self.store_on_majority(now, id, EndpointState::Gone, done, actions);
    }

    /// Handles the request of another control node to store a departure.
    pub(super) fn on_store_endpoint(
        &mut self,
        now: u64,
        record: EndpointRecord,
        stored: oneshot::Sender<bool>,
        actions: &mut Vec<Action>,
    ) {
        let id = record.id.clone();
        if self.gossip.record_heartbeat(now, record) == MergeOutcome::Changed {
            self.checkpoint.changed.endpoints = true;
            self.gossip.flush_now(now, actions);
        }
        if let Some(record) = self.gossip.endpoints().record(now, &id) {
            self.store_departure(record, stored);
        }
    }

    /// Acknowledges a departure once a majority of the nodes that hold replicas has it on disk.
    fn store_on_majority(
        &mut self,
        now: u64,
        id: &str,
        state: EndpointState,
        done: oneshot::Sender<Acknowledgement>,
        actions: &mut Vec<Action>,
    ) {
        let is_stored = self.stored_by_majority.contains(id, state);
        let record = self.gossip.endpoints().record(now, id);
        let needs_majority = !is_stored && Safeguard::DrainOnMajority.is_enabled();
        let Some(record) = record.filter(|_| needs_majority) else {
            let _ = done.send(Ok(()));
            return;
        };
        self.gossip.flush_now(now, actions);
        let state = record.state;
        let required = self.quorum.majority();
        let mut stored = self.store_on_quorum(record);
        let (queue, id) = (self.queue.clone(), id.to_owned());
        spawn_local(async move {
            let mut count = 0;
            while count < required && stored.recv().await.is_some() {
                count += 1;
            }
            let acknowledgement = if count >= required {
                let _ = queue.send(Command::StoredByMajority { id, state });
                Ok(())
            } else {
                // Some nodes may have stored it and may still disseminate it, so the error must not promise that the
                // call had no effect.
                Err(Error::new(
                    ErrorKind::NoQuorum,
                    "no majority of the core holds it yet",
                ))
            };
            let _ = done.send(acknowledgement);
        });
    }

    /// Stores a departure on all nodes of the quorum. The receiver gets one item for each node that has it on disk.
    fn store_on_quorum(&mut self, record: EndpointRecord) -> mpsc::UnboundedReceiver<()> {
        let (sender, stored) = mpsc::unbounded_channel();
        if let Ok(bytes) = postcard::to_stdvec(&record) {
            self.send_to_quorum(&bytes, &sender);
        }
        if self.quorum.includes_local {
            let (local_sender, local) = oneshot::channel();
            self.store_departure(record, local_sender);
            spawn_local(async move {
                if let Ok(Ok(true)) = timeout(STORE_TIMEOUT, local).await {
                    let _ = sender.send(());
                }
            });
        }
        stored
    }

    /// Sends an endpoint's record to the other nodes of the quorum, and notifies `stored` for each that has it on disk.
    fn send_to_quorum(&self, record: &[u8], stored: &mpsc::UnboundedSender<()>) {
        let others = self.quorum.others.iter();
        let members = others.filter_map(|name| self.gossip.member(name));
        for to in members.map(|member| self.gossip.address(member)) {
            let (rpc, record, stored) = (self.rpc.clone(), record.to_vec(), stored.clone());
            spawn_local(async move {
                let response = rpc.call(to, paths::ENDPOINT, record, STORE_TIMEOUT).await;
                if response.is_ok() {
                    let _ = stored.send(());
                }
            });
        }
    }

    /// Puts a departure on this node's disk. `stored` receives whether it is there.
    fn store_departure(&mut self, record: EndpointRecord, stored: oneshot::Sender<bool>) {
        if Safeguard::DepartureOnDisk.is_enabled() {
            self.log_endpoint(record, Some(stored));
        } else {
            let _ = stored.send(true);
        }
    }
}
