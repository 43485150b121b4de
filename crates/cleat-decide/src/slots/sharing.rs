//! The slots of a service's targets at one entry.

use std::time::Duration;

use indexmap::IndexMap;

use super::held::{Borrowed, Held};
use super::peers::{Ask, Peer, most_hopeful};
use super::{EntryIndex, Grant, GrantId, LeaseTerms, Message, Outgoing, Slot, TargetKey};
use crate::{Protections, slot_share};

/// Lends and borrows slots by demand. One for each service on an entry.
#[derive(Debug)]
pub struct Slots {
    me: EntryIndex,
    entries: Box<[Box<str>]>,
    incarnation: u64,
    terms: LeaseTerms,
    /// By name; a target keeps its place, and so its key, for good.
    targets: IndexMap<Box<str>, Held>,
    /// One for each entry, this one included.
    peers: Vec<Peer>,
    asks: u64,
    loans: u64,
    started_at: Duration,
    protections: Protections,
}

impl Slots {
    /// The slots of an entry that starts now, in a `life` that it never had
    /// before.
    pub fn new(
        me: EntryIndex,
        incarnation: u64,
        entries: &[Box<str>],
        terms: LeaseTerms,
        now: Duration,
    ) -> Slots {
        Slots {
            me,
            entries: entries.into(),
            incarnation,
            terms,
            targets: IndexMap::new(),
            peers: entries.iter().map(|_| Peer::default()).collect(),
            asks: 0,
            loans: 0,
            started_at: now,
            protections: Protections::ALL,
        }
    }

    /// Turns some protections off, for tests of the tests.
    #[doc(hidden)]
    #[must_use]
    pub fn with_protections(mut self, protections: Protections) -> Slots {
        self.protections = protections;
        self
    }

    /// Adds a target or gives it another cap (the lesser of its slots and
    /// connections).
    ///
    /// `fresh` says that it announced itself after this life began. Else an
    /// earlier life may have lent its slots or left requests running on them,
    /// and those at home stay unused until these have passed. A lower cap holds
    /// for what starts and is lent from now on.
    pub fn set_target(&mut self, name: &str, cap: u32, fresh: bool) -> TargetKey {
        let me = self.entries.get(self.me.0 as usize);
        let home = me.map_or(0, |me| slot_share(name, cap, &self.entries, me));
        let index = match self.targets.get_index_of(name) {
            Some(index) => index,
            None => self.add(name, fresh),
        };
        let started_at = self.started_at;
        let held = &mut self.targets[index];
        held.home = home;
        held.leaving = false;
        if fresh && !held.fresh {
            held.fresh = true;
            held.home_from = started_at;
        }
        TargetKey(u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// Leaves the target's slots at home unused until what an earlier holder
    /// that is not known here may run on them has ended.
    pub fn withhold_home_slots(&mut self, target: TargetKey, now: Duration) {
        let until = now + self.reclaim_after();
        if let Some(held) = self.held_mut(target) {
            held.home_from = held.home_from.max(until);
        }
    }

    /// Requests may run for up to `longest` from now on. A lower value changes
    /// nothing: longer requests may still be on their way. Loans made for
    /// shorter requests end.
    pub fn set_max_request_duration(&mut self, longest: Duration) {
        if longest <= self.terms.max_request_duration {
            return;
        }
        self.terms.max_request_duration = longest;
        let settled = self.started_at + self.reclaim_after();
        for held in self.targets.values_mut() {
            held.close_loans();
            if !held.fresh {
                held.home_from = held.home_from.max(settled);
            }
        }
    }

    /// Until when the request that took `slot` may be begun at the target;
    /// `None` for no bound. To be looked at again right before its first byte
    /// is written.
    pub fn start_deadline(&self, slot: Slot) -> Option<Duration> {
        let grant = slot.grant?;
        let borrowed = self.held(slot.target)?.borrowed.get(&grant);
        Some(borrowed.map_or(Duration::ZERO, |borrowed| borrowed.until))
    }

    /// Whether anything is on loan here, so that [`Slots::tick`] has work.
    pub fn has_borrowed(&self) -> bool {
        self.targets.values().any(|held| !held.borrowed.is_empty())
    }

    /// The target takes no new work; what runs on it and what is lent stays
    /// accounted for.
    pub fn remove_target(&mut self, name: &str) {
        if let Some(held) = self.targets.get_mut(name) {
            held.leaving = true;
        }
    }

    /// How many requests of this entry the target may have in progress now.
    pub fn usable(&self, target: TargetKey, now: Duration) -> u32 {
        self.held(target).map_or(0, |held| held.usable(now))
    }

    /// Takes a slot for one request, at home if there is one.
    pub fn acquire(&mut self, target: TargetKey, now: Duration) -> Option<Slot> {
        let held = self.held_mut(target)?;
        held.reclaim(now);
        if held.home_free(now) > 0 {
            held.home_busy += 1;
            return Some(Slot {
                target,
                grant: None,
            });
        }
        let grant = held.borrowed_free(now)?;
        held.borrowed.get_mut(&grant)?.busy = true;
        Some(Slot {
            target,
            grant: Some(grant),
        })
    }

    /// Gives a slot back after its request ended. The request no longer runs
    /// at the target, or its deadline passed.
    pub fn release(&mut self, slot: Slot, now: Duration) {
        let Some(held) = self.held_mut(slot.target) else {
            return;
        };
        let Some(grant) = slot.grant else {
            held.home_busy = held.home_busy.saturating_sub(1);
            return;
        };
        if let Some(borrowed) = held.borrowed.get_mut(&grant) {
            borrowed.busy = false;
            borrowed.idle_since = now;
        }
    }

    /// Asks for slots for `count` waiting requests, less what is asked for
    /// already.
    pub fn request_slots(&mut self, count: u32, now: Duration) -> Vec<Outgoing> {
        let pending: u32 = self.peers.iter().map(|peer| peer.pending(now)).sum();
        let mut missing = count.saturating_sub(pending);
        let mut out = Vec::new();
        while missing > 0 {
            let Some((index, hope)) = most_hopeful(&self.peers, self.me, self.asks, now) else {
                break;
            };
            let count = hope.min(missing);
            out.push(self.ask(index, count, now));
            missing -= count;
        }
        out
    }

    /// Handles a message of another entry.
    pub fn handle_message(
        &mut self,
        from: EntryIndex,
        message: Message,
        now: Duration,
    ) -> Vec<Outgoing> {
        match message {
            Message::Request {
                incarnation,
                serial,
                count,
            } => self.lend(from, incarnation, serial, count, now),
            Message::Grants {
                incarnation,
                request,
                grants,
                idle,
            } => self.borrow(from, incarnation, request, &grants, idle, now),
            Message::Return { grants } => {
                self.take_back(&grants);
                Vec::new()
            }
        }
    }

    /// Returns loans that are idle or over. Called after [`Slots::release`] and at
    /// least once in each `idle_timeout`.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut by_lender: IndexMap<EntryIndex, Vec<GrantId>> = IndexMap::new();
        let idle_timeout = self.terms.idle_timeout;
        for held in self.targets.values_mut() {
            held.reclaim(now);
            for (lender, grant) in held.surplus(idle_timeout, now) {
                by_lender.entry(lender).or_default().push(grant);
            }
        }
        let send = |(to, grants)| Outgoing {
            to,
            message: Message::Return { grants },
        };
        by_lender.into_iter().map(send).collect()
    }

    fn add(&mut self, name: &str, fresh: bool) -> usize {
        let settled = self.started_at + self.reclaim_after();
        let held = Held {
            home_from: if fresh { self.started_at } else { settled },
            fresh,
            ..Held::default()
        };
        self.targets.insert_full(name.into(), held).0
    }

    fn ask(&mut self, index: usize, count: u32, now: Duration) -> Outgoing {
        self.asks += 1;
        let serial = self.asks;
        self.peers[index].asked(Ask {
            serial,
            count,
            sent_at: now,
        });
        Outgoing {
            to: EntryIndex(u32::try_from(index).unwrap_or(u32::MAX)),
            message: Message::Request {
                incarnation: self.incarnation,
                serial,
                count,
            },
        }
    }

    fn lend(
        &mut self,
        to: EntryIndex,
        incarnation: u64,
        request: u64,
        count: u32,
        now: Duration,
    ) -> Vec<Outgoing> {
        let Some(peer) = self.peers.get_mut(to.0 as usize) else {
            return Vec::new();
        };
        if !peer.is_new(incarnation, request) {
            return Vec::new();
        }
        for held in self.targets.values_mut() {
            held.reclaim(now);
        }
        let mut grants = Vec::new();
        while (grants.len() as u64) < u64::from(count) {
            let Some(grant) = self.lend_one(now) else {
                break;
            };
            grants.push(grant);
        }
        let idle = self.targets.values().map(|held| held.home_free(now)).sum();
        let message = Message::Grants {
            incarnation,
            request,
            grants,
            idle,
        };
        vec![Outgoing { to, message }]
    }

    /// Lends a slot of the target with the most idle ones.
    fn lend_one(&mut self, now: Duration) -> Option<Grant> {
        let back_at = now + self.reclaim_after();
        let open = self.targets.iter_mut();
        let (name, held) = open.max_by_key(|(_, held)| held.home_free(now))?;
        if held.home_free(now) == 0 {
            return None;
        }
        self.loans += 1;
        let id = GrantId {
            lender: self.me,
            incarnation: self.incarnation,
            serial: self.loans,
        };
        held.lent.insert(id, back_at);
        Some(Grant {
            id,
            target: name.clone(),
            max_request_duration: self.terms.max_request_duration,
        })
    }

    /// Accepts loans. The lease counts from when the ask was sent, so it ends
    /// here before it ends at the lender.
    fn borrow(
        &mut self,
        from: EntryIndex,
        incarnation: u64,
        request: u64,
        grants: &[Grant],
        idle: u32,
        now: Duration,
    ) -> Vec<Outgoing> {
        if incarnation != self.incarnation {
            return Vec::new();
        }
        let peer = self.peers.get_mut(from.0 as usize);
        let Some(asked) =
            peer.and_then(|peer| peer.answered(request, !grants.is_empty(), idle, now))
        else {
            return Vec::new();
        };
        let mut unwanted = Vec::new();
        for grant in grants {
            let enough = grant.max_request_duration >= self.terms.max_request_duration;
            let held = self.targets.get_mut(&grant.target);
            let Some(held) = held.filter(|_| enough) else {
                unwanted.push(grant.id);
                continue;
            };
            let borrowed = Borrowed {
                lender: from,
                until: asked.sent_at + self.terms.lease,
                busy: false,
                idle_since: now,
            };
            held.borrowed.insert(grant.id, borrowed);
        }
        if unwanted.is_empty() {
            return Vec::new();
        }
        let message = Message::Return { grants: unwanted };
        vec![Outgoing { to: from, message }]
    }

    fn take_back(&mut self, grants: &[GrantId]) {
        for held in self.targets.values_mut() {
            for grant in grants {
                held.lent.swap_remove(grant);
            }
        }
    }

    fn reclaim_after(&self) -> Duration {
        if self.protections.lease_grace {
            self.terms.reclaim_after()
        } else {
            self.terms.lease
        }
    }

    fn held(&self, target: TargetKey) -> Option<&Held> {
        Some(self.targets.get_index(target.0 as usize)?.1)
    }

    fn held_mut(&mut self, target: TargetKey) -> Option<&mut Held> {
        Some(self.targets.get_index_mut(target.0 as usize)?.1)
    }
}
