//! Carries out the actions of the relay's actor by sending commands to the tasks that own the connections.

use crate::membership::unit_list::{ListCommand, ListMailbox};
use crate::wire::peers::Peers;
use crate::wire::platform::{PlatformCommand, PlatformMailbox};
use crate::wire::units::{UnitContext, UnitMailbox};
use beechcroft::PeerId;
use beechcroft_core::list::UnitEndpoint;
use beechcroft_core::{Ballot, Outbound, UnitCommand};

/// Mailboxes of the tasks that own the connections; implements [`Outbound`].
pub struct RelayOutbound {
    /// Starts a task for each unit.
    pub units: UnitContext,
    /// The watcher of the list of units.
    pub list: ListMailbox,
    /// The connection to the platform, if one is configured.
    pub platform: Option<PlatformMailbox>,
    /// The other relays.
    pub peers: Peers,
}

impl Outbound for RelayOutbound {
    type Unit = UnitMailbox;

    fn add_unit(&mut self, endpoint: UnitEndpoint) -> UnitMailbox {
        self.units.spawn(endpoint)
    }
    fn send(&mut self, unit: &UnitMailbox, command: UnitCommand) {
        let _ = unit.send(command);
    }
    fn send_to_peers(&mut self, peer: Option<PeerId>, message: &[u8]) {
        self.peers.send(peer, message);
    }
    fn cast_vote(&mut self, ballot: Ballot) {
        if let Some(platform) = &self.platform {
            let _ = platform.send(PlatformCommand::CastVote(ballot));
        }
    }
    fn watch_units(&mut self) {
        let _ = self.list.send(ListCommand::Follow);
    }
}
