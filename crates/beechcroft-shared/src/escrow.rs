//! Budget by escrow. A relay may give a part of its own share of a cold unit's budget to another one: it subtracts first and
//! writes then. Whatever is lost in between is lost to all, so that what all spend never exceeds the sum of their shares.
//!
//! A gift names who may take it and has a number of its own, so it counts once however often it is written, told or brought
//! back by a store that remembers an older state. It belongs to one start of one unit and holds for as long as that; no
//! clocks are compared.

use crate::RelayIncarnation;
use beechcroft::UnitId;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// What budgets are counted in: thousandths of a task's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Milli(pub u64);

/// A unit since one of its starts; another start is another one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stake {
    pub unit: UnitId,
    pub started: Duration,
}

/// A part of a share that changes hands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gift {
    pub stake: Stake,
    pub from: RelayIncarnation,
    pub to: RelayIncarnation,
    /// Of all gifts of this run of the giver.
    pub number: u64,
    pub amount: Milli,
}

/// What a relay would like to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wish {
    pub stake: Stake,
    pub by: RelayIncarnation,
    pub amount: Milli,
}

/// One relay's account of one stake.
#[derive(Debug, Default)]
struct Account {
    /// The smallest share that it ever had here: what was given away of a larger one could not be made good.
    share: Option<Milli>,
    given: u64,
    /// Gifts that were taken; what they add up to is `got`.
    taken: BTreeSet<(RelayIncarnation, u64)>,
    got: u64,
}

/// Stakes kept at once; past them the one of the earliest start is forgotten, with all that was got for it. A fleet has
/// that many units starting at once only as a whole, and then nobody has anything to give.
const STAKES: usize = 4096;
/// Gifts taken for one stake; further ones are lost.
const GIFTS: usize = 1024;

/// What one run of one relay gave and got.
pub struct Escrow {
    me: RelayIncarnation,
    accounts: HashMap<Stake, Account>,
    /// Stakes that were forgotten had started by then: nothing is given or taken for such any more.
    forgotten: Option<Duration>,
    next: u64,
}

impl Escrow {
    pub fn new(me: RelayIncarnation) -> Escrow {
        Escrow {
            me,
            accounts: HashMap::new(),
            forgotten: None,
            next: 0,
        }
    }

    /// What this relay may have in all where its own share is `share` now: less what it gave, and what it got.
    pub fn allowance(&mut self, stake: &Stake, share: Milli) -> Milli {
        let Some(account) = self.accounts.get_mut(stake) else {
            return share;
        };
        let least = account.share.map_or(share, |least| least.min(share));
        account.share = Some(least);
        Milli(share.0.saturating_sub(account.given) + account.got)
    }

    /// Gives a part away that this relay has no use for: of its own share alone, half of what is left of it at most, so
    /// that it can still serve. `spent` is what it has used. What is returned has been subtracted, and may be lost.
    pub fn give(&mut self, wish: &Wish, share: Milli, spent: Milli) -> Option<Gift> {
        let stake = &wish.stake;
        if wish.by.relay == self.me.relay || self.is_forgotten(stake) {
            return None;
        }
        let account = self.accounts.entry(stake.clone()).or_default();
        let least = account.share.map_or(share, |least| least.min(share));
        let amount = (least.0.saturating_sub(account.given + spent.0) / 2).min(wish.amount.0);
        if amount == 0 {
            return None;
        }
        account.share = Some(least);
        account.given += amount;
        self.next += 1;
        let gift = Gift {
            stake: stake.clone(),
            from: self.me,
            to: wish.by,
            number: self.next,
            amount: Milli(amount),
        };
        self.make_room();
        Some(gift)
    }

    /// Takes a gift that the store's reply has told of; what it adds, which is nothing where it is not for this run or was
    /// taken before.
    pub fn take(&mut self, gift: &Gift) -> Milli {
        if gift.to != self.me || gift.from.relay == self.me.relay || self.is_forgotten(&gift.stake)
        {
            return Milli(0);
        }
        let account = self.accounts.entry(gift.stake.clone()).or_default();
        if account.taken.len() >= GIFTS || !account.taken.insert((gift.from, gift.number)) {
            return Milli(0);
        }
        account.got += gift.amount.0;
        self.make_room();
        gift.amount
    }

    /// The unit is warm or gone; its stake needs no account any more, and gets none again.
    pub fn over(&mut self, stake: &Stake) {
        if let Some(account) = self.accounts.get_mut(stake) {
            // What was given stays given, and what was got is not to be got again.
            account.got = 0;
            account.share = Some(Milli(0));
        }
    }

    fn is_forgotten(&self, stake: &Stake) -> bool {
        !self.accounts.contains_key(stake)
            && self.forgotten.is_some_and(|until| stake.started <= until)
    }

    fn make_room(&mut self) {
        while self.accounts.len() > STAKES {
            let Some(first) = self
                .accounts
                .keys()
                .min_by_key(|stake| stake.started)
                .cloned()
            else {
                return;
            };
            self.forgotten = self.forgotten.max(Some(first.started));
            self.accounts.remove(&first);
        }
    }
}
