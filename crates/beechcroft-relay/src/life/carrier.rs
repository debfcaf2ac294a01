//! What carries the module's actions out: the mailboxes of those whom they concern.

use crate::memory::list::{ListMailbox, ToList};
use crate::wire::peers::Peers;
use crate::wire::platform::{PlatformMailbox, ToPlatform};
use crate::wire::units::{Shared, UnitMailbox};
use beechcroft::PeerId;
use beechcroft_core::list::UnitEndpoint;
use beechcroft_core::{Ballot, Outbound, UnitCommand};

pub struct Wires {
    pub units: Shared,
    pub list: ListMailbox,
    pub platform: Option<PlatformMailbox>,
    pub peers: Peers,
}

impl Outbound for Wires {
    type Unit = UnitMailbox;

    fn add_unit(&mut self, listing: UnitEndpoint) -> UnitMailbox {
        self.units.spawn(listing)
    }
    fn send(&mut self, unit: &UnitMailbox, what: UnitCommand) {
        let _ = unit.send(what);
    }
    fn send_to_peers(&mut self, peer: Option<PeerId>, note: &[u8]) {
        self.peers.tell(peer, note);
    }
    fn cast_vote(&mut self, ballot: Ballot) {
        if let Some(platform) = &self.platform {
            let _ = platform.send(ToPlatform::Cast(ballot));
        }
    }
    fn watch_units(&mut self) {
        let _ = self.list.send(ToList::Follow);
    }
}
