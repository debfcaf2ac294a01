//! What carries the module's actions out: the mailboxes of those whom they concern.

use crate::memory::list::{ListMailbox, ToList};
use crate::wire::peers::Peers;
use crate::wire::platform::{PlatformMailbox, ToPlatform};
use crate::wire::units::{Shared, UnitMailbox};
use beechcroft::PeerId;
use beechcroft_core::list::Listing;
use beechcroft_core::{Ballot, Carrier, ToUnit};

pub struct Wires {
    pub units: Shared,
    pub list: ListMailbox,
    pub platform: Option<PlatformMailbox>,
    pub peers: Peers,
}

impl Carrier for Wires {
    type Unit = UnitMailbox;

    fn unit(&mut self, listing: Listing) -> UnitMailbox {
        self.units.spawn(listing)
    }
    fn send(&mut self, unit: &UnitMailbox, what: ToUnit) {
        let _ = unit.send(what);
    }
    fn tell(&mut self, peer: Option<PeerId>, note: &[u8]) {
        self.peers.tell(peer, note);
    }
    fn cast(&mut self, ballot: Ballot) {
        if let Some(platform) = &self.platform {
            let _ = platform.send(ToPlatform::Cast(ballot));
        }
    }
    fn follow(&mut self) {
        let _ = self.list.send(ToList::Follow);
    }
}
