//! Transfers of budget between relays, by escrow. A relay may transfer a part of its own share of a cold unit's budget
//! to another relay: it first subtracts the amount from its share, and then writes the transfer to the store. A
//! transfer that is lost in between is lost to all, so that the sum of what all relays spend never exceeds the sum of
//! their shares.
//!
//! A transfer names its receiver and has a sequence number, so it counts once, however often it is written, read, or
//! brought back by a store that reverts to an older state. It belongs to one start of one unit and is valid as long as
//! that; no clocks are compared.

use crate::RelayIncarnation;
use beechcroft::UnitId;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The unit of budgets: thousandths of a task's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MilliTasks(pub u64);

/// One start of a unit; budgets do not carry over to another start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UnitStart {
    pub unit: UnitId,
    /// When this start took place; another start has another value.
    pub started: Duration,
}

/// A part of a share that one relay transfers to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    pub unit_start: UnitStart,
    pub from: RelayIncarnation,
    pub to: RelayIncarnation,
    /// Unique among all transfers of `from`.
    pub sequence: u64,
    pub amount: MilliTasks,
}

/// A relay's request for a transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferRequest {
    pub unit_start: UnitStart,
    pub requester: RelayIncarnation,
    pub amount: MilliTasks,
}

/// One relay's account for one start of a unit.
#[derive(Debug, Default)]
struct Account {
    /// The smallest share that the relay has had here: a grant out of a larger one could not be covered later.
    min_share: Option<MilliTasks>,
    granted: u64,
    /// Accepted transfers, which add up to `received`.
    accepted: BTreeSet<(RelayIncarnation, u64)>,
    received: u64,
}

/// Maximum number of accounts; beyond it the one with the earliest start is evicted, with all that was received for it.
/// Only a fleet that starts as a whole has so many units starting at once, and then no relay has budget to spare.
const MAX_ACCOUNTS: usize = 4096;
/// Maximum number of accepted transfers for one account; further ones are lost.
const MAX_TRANSFERS: usize = 1024;

/// What one incarnation of a relay granted and received.
pub struct Escrow {
    own: RelayIncarnation,
    accounts: HashMap<UnitStart, Account>,
    /// The latest start of an evicted account: nothing is granted or accepted for unknown starts up to it.
    evicted_until: Option<Duration>,
    last_sequence: u64,
}

impl Escrow {
    /// An escrow without any transfers.
    pub fn new(own: RelayIncarnation) -> Escrow {
        Escrow {
            own,
            accounts: HashMap::new(),
            evicted_until: None,
            last_sequence: 0,
        }
    }

    /// The relay's total budget while its own share is `share`: the share less all grants, plus all that was received.
    pub fn allowance(&mut self, unit_start: &UnitStart, share: MilliTasks) -> MilliTasks {
        let Some(account) = self.accounts.get_mut(unit_start) else {
            return share;
        };
        let min_share = account.min_share.map_or(share, |min| min.min(share));
        account.min_share = Some(min_share);
        MilliTasks(share.0.saturating_sub(account.granted) + account.received)
    }

    /// Grants a part of this relay's own share, at most half of what is left of it, so that the relay can still serve.
    /// `spent` is what it has used. The returned amount is already subtracted, and the transfer may be lost.
    pub fn grant(
        &mut self,
        request: &TransferRequest,
        share: MilliTasks,
        spent: MilliTasks,
    ) -> Option<Transfer> {
        let unit_start = &request.unit_start;
        if request.requester.relay == self.own.relay || self.is_evicted(unit_start) {
            return None;
        }
        let account = self.accounts.entry(unit_start.clone()).or_default();
        let min_share = account.min_share.map_or(share, |min| min.min(share));
        let amount =
            (min_share.0.saturating_sub(account.granted + spent.0) / 2).min(request.amount.0);
        if amount == 0 {
            return None;
        }
        account.min_share = Some(min_share);
        account.granted += amount;
        self.last_sequence += 1;
        let transfer = Transfer {
            unit_start: unit_start.clone(),
            from: self.own,
            to: request.requester,
            sequence: self.last_sequence,
            amount: MilliTasks(amount),
        };
        self.evict();
        Some(transfer)
    }

    /// Accepts a transfer that was read from the store. Returns what it adds: nothing if it is not addressed to this
    /// incarnation or was accepted before.
    pub fn accept(&mut self, transfer: &Transfer) -> MilliTasks {
        if transfer.to != self.own
            || transfer.from.relay == self.own.relay
            || self.is_evicted(&transfer.unit_start)
        {
            return MilliTasks(0);
        }
        let account = self
            .accounts
            .entry(transfer.unit_start.clone())
            .or_default();
        if account.accepted.len() >= MAX_TRANSFERS
            || !account.accepted.insert((transfer.from, transfer.sequence))
        {
            return MilliTasks(0);
        }
        account.received += transfer.amount.0;
        self.evict();
        transfer.amount
    }

    /// The unit is warm or gone: its account is closed for good.
    pub fn close(&mut self, unit_start: &UnitStart) {
        if let Some(account) = self.accounts.get_mut(unit_start) {
            // The account stays, so that grants remain subtracted and accepted transfers are not accepted again.
            account.received = 0;
            account.min_share = Some(MilliTasks(0));
        }
    }

    fn is_evicted(&self, unit_start: &UnitStart) -> bool {
        !self.accounts.contains_key(unit_start)
            && self
                .evicted_until
                .is_some_and(|until| unit_start.started <= until)
    }

    fn evict(&mut self) {
        while self.accounts.len() > MAX_ACCOUNTS {
            let Some(earliest) = self
                .accounts
                .keys()
                .min_by_key(|unit_start| unit_start.started)
                .cloned()
            else {
                return;
            };
            self.evicted_until = self.evicted_until.max(Some(earliest.started));
            self.accounts.remove(&earliest);
        }
    }
}
