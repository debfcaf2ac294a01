//! Rollouts: ticks the detector of bad versions for each rollout in progress, publishes alarm updates for other proxies, and
//! votes to roll back.

use super::StateOwner;
use beechcroft_balancer::VersionClass;
use beechcroft_consensus::{Rollout, Stage};
use beechcroft_gossip::{AlarmUpdate, EndpointCount};
use beechcroft_rollout::progression::LAST_STAGE;
use beechcroft_rollout::{DetectorStatus, PeerReport, TrialCount};
use beechcroft_transport::rpc::paths;
use std::time::Duration;
use tokio::task::spawn_local;

/// Interval between alarm updates, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 1000;
/// Minimum interval between votes to roll back, in milliseconds.
const VOTE_INTERVAL_MS: u64 = 400;
/// Timeout of the call that delivers a vote to a control node.
const VOTE_TIMEOUT: Duration = Duration::from_millis(800);

/// The stage of a rollout as observed by this proxy.
#[derive(Clone, Copy)]
pub(super) struct ObservedStage {
    rollout: u64,
    stage: u8,
    /// Time at which this proxy first observed the stage.
    since: u64,
}

/// Result of a tick of a service's detector.
struct DetectorTick {
    stage: u8,
    status: DetectorStatus,
    peers: Vec<PeerReport>,
}

impl StateOwner {
    /// Ticks the detector of each service with a rollout in progress and votes to roll back bad versions. Once per
    /// [`PUBLISH_INTERVAL_MS`] it also publishes alarm updates.
    pub(super) fn detect_bad_versions(&mut self, now: u64) {
        let is_publish_due = now >= self.next_publish_at;
        if is_publish_due {
            self.next_publish_at = now + PUBLISH_INTERVAL_MS;
        }
        let rollouts = self.shared.operations.borrow().rollouts.clone();
        let mut updates = Vec::new();
        for (service, rollout) in &rollouts {
            let Some(result) = self.tick_detector(now, service, rollout) else {
                continue;
            };
            let DetectorTick {
                stage,
                status,
                peers,
            } = result;
            if status.wants_rollback && now >= self.next_vote_at {
                self.next_vote_at = now + VOTE_INTERVAL_MS;
                log::info!("state: Votes to roll {service} back: {status:?}, peers {peers:?}.");
                self.vote_to_roll_back(service, rollout.id);
            }
            let count =
                |quota: &mut beechcroft_balancer::CanaryQuota| quota.requests(rollout.id, stage);
            let requests = self.shared.with_canary_quota(service, count);
            if is_publish_due {
                let observed = ObservedStage {
                    rollout: rollout.id,
                    stage,
                    since: now,
                };
                let observed = self.stages.get(service).copied().unwrap_or(observed);
                updates.push(self.alarm_update(now, service, observed, requests, status));
            }
        }
        for update in updates {
            self.gossip.publish_alarm(now, update);
        }
    }

    /// Advances the detector of a service. `None` if no rollout of the service is in progress, or it has had no requests yet.
    fn tick_detector(
        &mut self,
        now: u64,
        service: &str,
        rollout: &Rollout,
    ) -> Option<DetectorTick> {
        let shared = self.shared.clone();
        let mut detectors = shared.canary_detectors.borrow_mut();
        let detector = detectors.get_mut(service)?;
        let Stage::Active(stage) = rollout.stage else {
            detector.end_rollout();
            return None;
        };
        detector.set_stage(rollout.id, stage);
        let observed = self.stages.get(service);
        if observed.is_none_or(|observed| (observed.rollout, observed.stage) != (rollout.id, stage))
        {
            let observed = ObservedStage {
                rollout: rollout.id,
                stage,
                since: now,
            };
            self.stages.insert(service.to_owned(), observed);
        }
        let local = &self.gossip.local().name;
        let alarms = self.gossip.alarms(now, service).filter(|update| {
            update.proxy != *local && (update.rollout, update.stage) == (rollout.id, stage)
        });
        let peers: Vec<PeerReport> = alarms.map(peer_report).collect();
        let status = detector.tick(&peers)?;
        Some(DetectorTick {
            stage,
            status,
            peers,
        })
    }

    /// The update that tells other proxies and the control nodes what this proxy observes of a rollout.
    fn alarm_update(
        &mut self,
        now: u64,
        service: &str,
        observed: ObservedStage,
        requests: u32,
        status: DetectorStatus,
    ) -> AlarmUpdate {
        let is_last = observed.stage == LAST_STAGE;
        let baseline_in_flight = if is_last {
            self.baseline_in_flight(service)
        } else {
            0
        };
        let sequence = self.next_sequence();
        let local = self.gossip.local();
        let latencies = &status.baseline_latencies;
        let bins = latencies
            .iter()
            .rposition(|&count| count > 0)
            .map_or(0, |last| last + 1);
        AlarmUpdate {
            proxy: local.name.clone(),
            incarnation: local.incarnation,
            sequence,
            service: service.to_owned(),
            rollout: observed.rollout,
            stage: observed.stage,
            stage_ms: (now - observed.since) as u32,
            is_alarmed: status.is_alarmed,
            divergence: status.divergence as f32,
            trials: status.count.trials,
            failures: status.count.failures,
            requests,
            baseline_failure_rate: status.baseline_failure_rate as f32,
            baseline_in_flight,
            endpoints: status.endpoints.iter().map(endpoint_count).collect(),
            baseline_latencies: latencies[..bins]
                .iter()
                .map(|&count| saturate(count))
                .collect(),
        }
    }

    /// Number of this proxy's requests in flight to endpoints of the base version.
    fn baseline_in_flight(&self, service: &str) -> u32 {
        let balancer = self.shared.balancer.borrow();
        let base = balancer
            .upstreams()
            .filter(|(name, upstream)| *name == service && upstream.class == VersionClass::Base);
        base.map(|(_, upstream)| upstream.in_flight).sum()
    }

    /// Sends a vote to roll back to every control node. Any of them that reaches a majority applies it.
    fn vote_to_roll_back(&self, service: &str, rollout: u64) {
        let Ok(vote) = postcard::to_stdvec(&(service, rollout)) else {
            return;
        };
        for node in self
            .gossip
            .live_members()
            .filter(|member| member.is_control)
        {
            let (rpc, vote, to) = (self.rpc.clone(), vote.clone(), self.gossip.address(node));
            spawn_local(async move {
                let _ = rpc.call(to, paths::ROLLBACK, vote, VOTE_TIMEOUT).await;
            });
        }
    }
}

fn peer_report(update: &AlarmUpdate) -> PeerReport {
    let endpoints = update.endpoints.iter().map(|count| {
        let (trials, failures) = (count.trials.into(), count.failures.into());
        (count.endpoint, TrialCount { trials, failures })
    });
    PeerReport {
        is_alarmed: update.is_alarmed,
        divergence: f64::from(update.divergence),
        count: TrialCount {
            trials: update.trials,
            failures: update.failures,
        },
        endpoints: endpoints.collect(),
        baseline_latencies: update
            .baseline_latencies
            .iter()
            .map(|&count| count.into())
            .collect(),
    }
}

fn endpoint_count(&(endpoint, count): &(u16, TrialCount)) -> EndpointCount {
    EndpointCount {
        endpoint,
        trials: saturate(count.trials),
        failures: saturate(count.failures),
    }
}

fn saturate(count: u32) -> u16 {
    count.min(u32::from(u16::MAX)) as u16
}
