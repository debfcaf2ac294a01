//! Where clients go.

use super::StateOwner;
use beechcroft_gossip::{Member, MemberState};
use beechcroft_safeguards::Safeguard;
use std::net::SocketAddrV4;

/// For how long after the last message a control node names proxies, in milliseconds.
const PEERS_HEARD_MS: u64 = 2500;
/// A control node without contact names proxies that have written to it themselves, no longer ago than this, in
/// milliseconds.
const PROXY_HEARD_MS: u64 = 10_000;
/// Addresses of an answer.
const MAX_ADDRESSES: usize = 64;

impl StateOwner {
    /// The proxies that a client of a region goes to: the ready ones of its region, else all that are ready.
    ///
    /// A control node that hears nobody names none: the proxies that it knows may long be gone, and its clients have
    /// other control nodes. One that hears proxies but no majority is cut off together with them, and its clients may
    /// have no other: it names those that have written to it themselves.
    pub(super) fn resolve(&self, now: u64, region: &str) -> Vec<SocketAddrV4> {
        let is_recent = |at: u64, within: u64| now <= at.saturating_add(within);
        let hears_peers = is_recent(self.gossip.last_heard_at(), PEERS_HEARD_MS);
        if !hears_peers && Safeguard::PeersHeardBeforeResolve.is_enabled() {
            return Vec::new();
        }
        let has_contact = self.has_quorum_contact(now);
        let is_named = |member: &&Member| {
            let heard_at = self.gossip.member_heard_at(&member.name);
            member.state == MemberState::Ready
                && (has_contact || is_recent(heard_at, PROXY_HEARD_MS))
        };
        let ready = || self.gossip.live_members().filter(is_named);
        let near = ready().filter(|member| member.region == region);
        let mut addresses: Vec<SocketAddrV4> = near.filter_map(|member| member.ingress).collect();
        if addresses.is_empty() {
            addresses = ready().filter_map(|member| member.ingress).collect();
        }
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }
}
