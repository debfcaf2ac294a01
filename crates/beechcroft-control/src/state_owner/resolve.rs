//! Resolution: which proxies the directory names to clients.

use super::StateOwner;
use beechcroft_gossip::{Member, MemberState};
use beechcroft_safeguards::Safeguard;
use std::net::SocketAddrV4;

/// How long after the last message from any node a control node still names proxies, in milliseconds.
const PEER_CONTACT_WINDOW_MS: u64 = 2500;
/// How long after the last message from a proxy a control node without quorum contact still names that proxy, in
/// milliseconds.
const PROXY_CONTACT_WINDOW_MS: u64 = 10_000;
/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

impl StateOwner {
    /// Ingress addresses for a client of a region: those of the ready proxies in the region, or of all ready proxies if
    /// the region has none.
    ///
    /// A control node that receives no messages names no proxy: those that it knows may be long gone, and its clients
    /// can ask other control nodes. A control node that receives messages from proxies but has no quorum contact is
    /// probably in the same partition as they are, and its clients may reach no other control node: it names the
    /// proxies from which it has received messages directly.
    pub(super) fn resolve(&self, now: u64, region: &str) -> Vec<SocketAddrV4> {
        let is_recent = |at: u64, within: u64| now <= at.saturating_add(within);
        let has_peer_contact = is_recent(self.gossip.last_heard_at(), PEER_CONTACT_WINDOW_MS);
        if !has_peer_contact && Safeguard::PeersHeardBeforeResolve.is_enabled() {
            return Vec::new();
        }
        let has_quorum_contact = self.has_quorum_contact(now);
        let is_usable = |member: &&Member| {
            let heard_at = self.gossip.member_heard_at(&member.name);
            member.state == MemberState::Ready
                && (has_quorum_contact || is_recent(heard_at, PROXY_CONTACT_WINDOW_MS))
        };
        let ready = || self.gossip.live_members().filter(is_usable);
        let in_region = ready().filter(|member| member.region == region);
        let mut addresses: Vec<SocketAddrV4> =
            in_region.filter_map(|member| member.ingress).collect();
        if addresses.is_empty() {
            addresses = ready().filter_map(|member| member.ingress).collect();
        }
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }
}
