//! Rollouts: the mechanism's tick for each that is under way, alarm updates for peers, votes to roll back.

use super::StateOwner;
use beechcroft_balancer::VersionClass;
use beechcroft_consensus::{Rollout, Stage};
use beechcroft_gossip::{AlarmUpdate, EndpointCount};
use beechcroft_rollout::progression::LAST_STAGE;
use beechcroft_rollout::{DetectorStatus, PeerReport, TrialCount};
use beechcroft_transport::rpc::paths;
use std::time::Duration;
use tokio::task::spawn_local;

/// Between two alarm updates, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 1000;
/// Between two votes, in milliseconds.
const VOTE_INTERVAL_MS: u64 = 400;
/// For a control node to take a vote.
const VOTE_TIMEOUT: Duration = Duration::from_millis(800);

/// Since when a rollout is in its stage, as this proxy knows.
#[derive(Clone, Copy)]
pub(super) struct StageSeen {
    rollout: u64,
    stage: u8,
    since: u64,
}

/// A tick of a service's detector.
struct DetectorTick {
    stage: u8,
    status: DetectorStatus,
    peers: Vec<PeerReport>,
}

impl StateOwner {
    /// The mechanism's tick for each service with a rollout under way, and once a second the alarm update.
    pub(super) fn detect_bad_versions(&mut self, now: u64) {
        let publishes = now >= self.publish_at;
        if publishes {
            self.publish_at = now + PUBLISH_INTERVAL_MS;
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
            if status.wants_rollback && now >= self.vote_at {
                self.vote_at = now + VOTE_INTERVAL_MS;
                log::info!("state: Votes to roll {service} back: {status:?}, peers {peers:?}.");
                self.vote_to_roll_back(service, rollout.id);
            }
            let count =
                |quota: &mut beechcroft_balancer::CanaryQuota| quota.requests(rollout.id, stage);
            let requests = self.shared.with_canary_quota(service, count);
            if publishes {
                let seen = StageSeen {
                    rollout: rollout.id,
                    stage,
                    since: now,
                };
                let seen = self.stages.get(service).copied().unwrap_or(seen);
                updates.push(self.alarm_update(now, service, seen, requests, status));
            }
        }
        for update in updates {
            self.gossip.publish_alarm(now, update);
        }
    }

    /// Advances the detector of a service. `None` if no rollout of it is under way, or no request went to it yet.
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
        let seen = self.stages.get(service);
        if seen.is_none_or(|seen| (seen.rollout, seen.stage) != (rollout.id, stage)) {
            let seen = StageSeen {
                rollout: rollout.id,
                stage,
                since: now,
            };
            self.stages.insert(service.to_owned(), seen);
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

    fn alarm_update(
        &mut self,
        now: u64,
        service: &str,
        seen: StageSeen,
        requests: u32,
        status: DetectorStatus,
    ) -> AlarmUpdate {
        let is_last = seen.stage == LAST_STAGE;
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
            rollout: seen.rollout,
            stage: seen.stage,
            stage_ms: (now - seen.since) as u32,
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

    /// Requests of this proxy that are in flight at the base version.
    fn baseline_in_flight(&self, service: &str) -> u32 {
        let balancer = self.shared.balancer.borrow();
        let base = balancer
            .upstreams()
            .filter(|(of, upstream)| *of == service && upstream.class == VersionClass::Base);
        base.map(|(_, upstream)| upstream.in_flight).sum()
    }

    /// The vote goes to every control node: whichever reaches a majority carries it out.
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
