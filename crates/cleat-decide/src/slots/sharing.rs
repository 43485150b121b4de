//! The slots of a service's targets, as managed by one entry. The terms are explained
//! in the parent module.

use std::time::Duration;

use indexmap::IndexMap;

use super::peers::{Peer, PendingSlotRequest, best_lender};
use super::target_slots::{BorrowedSlot, TargetSlots};
use super::{EntryIndex, Grant, GrantId, LeaseTerms, Message, Outgoing, Slot, TargetKey};
use crate::{Protections, slot_share};

/// Lends and borrows the slots of one service by demand. Each entry has one for
/// each service.
#[derive(Debug)]
pub struct Slots {
    me: EntryIndex,
    entries: Box<[Box<str>]>,
    incarnation: u64,
    terms: LeaseTerms,
    /// By name. A target keeps its position, and thus its key, forever.
    targets: IndexMap<Box<str>, TargetSlots>,
    /// One for each entry, including this one.
    peers: Vec<Peer>,
    /// The number of slot requests sent.
    slot_requests: u64,
    /// The number of slots lent.
    grants: u64,
    started_at: Duration,
    protections: Protections,
}

impl Slots {
    /// The slots of an entry that starts now, in an `incarnation` that it never
    /// had before.
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
            slot_requests: 0,
            grants: 0,
            started_at: now,
            protections: Protections::ALL,
        }
    }

    /// Disables some protections, for tests which show that a check fails when a
    /// protection is missing.
    #[doc(hidden)]
    #[must_use]
    pub fn with_protections(mut self, protections: Protections) -> Slots {
        self.protections = protections;
        self
    }

    /// Adds a target or changes its cap (the smaller of its slots and
    /// connections).
    ///
    /// `fresh` says that the target announced itself after this incarnation began.
    /// Otherwise an earlier incarnation may have lent its slots or left requests
    /// running on them, and the slots at home stay unused until these have ended.
    /// A lower cap applies to requests started and slots lent from now on.
    pub fn set_target(&mut self, name: &str, cap: u32, fresh: bool) -> TargetKey {
        let me = self.entries.get(self.me.0 as usize);
        let home = me.map_or(0, |me| slot_share(name, cap, &self.entries, me));
        let index = match self.targets.get_index_of(name) {
            Some(index) => index,
            None => self.add_target(name, fresh),
        };
        let started_at = self.started_at;
        let slots = &mut self.targets[index];
        slots.home = home;
        slots.leaving = false;
        if fresh && !slots.fresh {
            slots.fresh = true;
            slots.home_usable_from = started_at;
        }
        TargetKey(u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// Keeps the target's slots at home unused until all requests have ended that the
    /// service to which the target belonged before may still run on them.
    pub fn withhold_home_slots(&mut self, target: TargetKey, now: Duration) {
        let until = now + self.reclaim_after();
        if let Some(slots) = self.target_mut(target) {
            slots.home_usable_from = slots.home_usable_from.max(until);
        }
    }

    /// Raises the maximum duration of requests from now on. A lower value has no
    /// effect, because longer requests may still be in progress. Leases granted
    /// for shorter requests end.
    pub fn set_max_request_duration(&mut self, duration: Duration) {
        if duration <= self.terms.max_request_duration {
            return;
        }
        self.terms.max_request_duration = duration;
        let usable_from = self.started_at + self.reclaim_after();
        for slots in self.targets.values_mut() {
            slots.end_leases();
            if !slots.fresh {
                slots.home_usable_from = slots.home_usable_from.max(usable_from);
            }
        }
    }

    /// The time before which the request that acquired `slot` must be started at
    /// the target; `None` if there is no limit. Must be checked again right before
    /// the first byte is written.
    pub fn start_deadline(&self, slot: Slot) -> Option<Duration> {
        let grant = slot.grant?;
        let borrowed = self.target(slot.target)?.borrowed.get(&grant);
        Some(borrowed.map_or(Duration::ZERO, |borrowed| borrowed.until))
    }

    /// Whether this entry has borrowed any slots, so that [`Slots::tick`] may have
    /// some to return.
    pub fn has_borrowed(&self) -> bool {
        self.targets
            .values()
            .any(|slots| !slots.borrowed.is_empty())
    }

    /// Stops new requests to the target. Requests in progress and lent slots stay
    /// accounted for.
    pub fn remove_target(&mut self, name: &str) {
        if let Some(slots) = self.targets.get_mut(name) {
            slots.leaving = true;
        }
    }

    /// How many requests of this entry may be in progress at the target now.
    pub fn usable(&self, target: TargetKey, now: Duration) -> u32 {
        self.target(target).map_or(0, |slots| slots.usable(now))
    }

    /// Acquires a slot for one request, at home if one is free.
    pub fn acquire(&mut self, target: TargetKey, now: Duration) -> Option<Slot> {
        let slots = self.target_mut(target)?;
        slots.reclaim(now);
        if slots.home_free(now) > 0 {
            slots.home_busy += 1;
            return Some(Slot {
                target,
                grant: None,
            });
        }
        let grant = slots.borrowed_free(now)?;
        slots.borrowed.get_mut(&grant)?.busy = true;
        Some(Slot {
            target,
            grant: Some(grant),
        })
    }

    /// Releases the slot of a request that no longer runs at the target or whose
    /// deadline has passed.
    pub fn release(&mut self, slot: Slot, now: Duration) {
        let Some(slots) = self.target_mut(slot.target) else {
            return;
        };
        let Some(grant) = slot.grant else {
            slots.home_busy = slots.home_busy.saturating_sub(1);
            return;
        };
        if let Some(borrowed) = slots.borrowed.get_mut(&grant) {
            borrowed.busy = false;
            borrowed.idle_since = now;
        }
    }

    /// Sends slot requests to other entries: one slot for each of `count` waiting
    /// requests, less the slots that pending slot requests already ask for.
    pub fn request_slots(&mut self, count: u32, now: Duration) -> Vec<Outgoing> {
        let pending: u32 = self.peers.iter().map(|peer| peer.pending(now)).sum();
        let mut missing = count.saturating_sub(pending);
        let mut out = Vec::new();
        while missing > 0 {
            let Some((index, expected)) =
                best_lender(&self.peers, self.me, self.slot_requests, now)
            else {
                break;
            };
            let count = expected.min(missing);
            out.push(self.request_slots_from(index, count, now));
            missing -= count;
        }
        out
    }

    /// Handles a message from another entry.
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
                self.remove_returned(&grants);
                Vec::new()
            }
        }
    }

    /// Returns borrowed slots that are idle or whose lease is over. Call after
    /// [`Slots::release`] and at least once per `idle_timeout`.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut by_lender: IndexMap<EntryIndex, Vec<GrantId>> = IndexMap::new();
        let idle_timeout = self.terms.idle_timeout;
        for slots in self.targets.values_mut() {
            slots.reclaim(now);
            for (lender, grant) in slots.take_returnable(idle_timeout, now) {
                by_lender.entry(lender).or_default().push(grant);
            }
        }
        let send = |(to, grants)| Outgoing {
            to,
            message: Message::Return { grants },
        };
        by_lender.into_iter().map(send).collect()
    }

    fn add_target(&mut self, name: &str, fresh: bool) -> usize {
        let usable_from = self.started_at + self.reclaim_after();
        let slots = TargetSlots {
            home_usable_from: if fresh { self.started_at } else { usable_from },
            fresh,
            ..TargetSlots::default()
        };
        self.targets.insert_full(name.into(), slots).0
    }

    fn request_slots_from(&mut self, index: usize, count: u32, now: Duration) -> Outgoing {
        self.slot_requests += 1;
        let serial = self.slot_requests;
        self.peers[index].set_pending(PendingSlotRequest {
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
        if !peer.record_slot_request(incarnation, request) {
            return Vec::new();
        }
        for slots in self.targets.values_mut() {
            slots.reclaim(now);
        }
        let mut grants = Vec::new();
        while (grants.len() as u64) < u64::from(count) {
            let Some(grant) = self.lend_one(now) else {
                break;
            };
            grants.push(grant);
        }
        let idle = self
            .targets
            .values()
            .map(|slots| slots.home_free(now))
            .sum();
        let message = Message::Grants {
            incarnation,
            request,
            grants,
            idle,
        };
        vec![Outgoing { to, message }]
    }

    /// Lends a slot of the target with the most free slots at home.
    fn lend_one(&mut self, now: Duration) -> Option<Grant> {
        let reclaim_at = now + self.reclaim_after();
        let targets = self.targets.iter_mut();
        let (name, slots) = targets.max_by_key(|(_, slots)| slots.home_free(now))?;
        if slots.home_free(now) == 0 {
            return None;
        }
        self.grants += 1;
        let id = GrantId {
            lender: self.me,
            incarnation: self.incarnation,
            serial: self.grants,
        };
        slots.lent.insert(id, reclaim_at);
        Some(Grant {
            id,
            target: name.clone(),
            max_request_duration: self.terms.max_request_duration,
        })
    }

    /// Accepts granted slots. The lease counts from when the slot request was sent,
    /// so it ends at the borrower before it ends at the lender.
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
        let Some(pending) =
            peer.and_then(|peer| peer.complete(request, !grants.is_empty(), idle, now))
        else {
            return Vec::new();
        };
        let mut rejected = Vec::new();
        for grant in grants {
            let is_long_enough = grant.max_request_duration >= self.terms.max_request_duration;
            let slots = self.targets.get_mut(&grant.target);
            let Some(slots) = slots.filter(|_| is_long_enough) else {
                rejected.push(grant.id);
                continue;
            };
            let borrowed = BorrowedSlot {
                lender: from,
                until: pending.sent_at + self.terms.lease,
                busy: false,
                idle_since: now,
            };
            slots.borrowed.insert(grant.id, borrowed);
        }
        if rejected.is_empty() {
            return Vec::new();
        }
        let message = Message::Return { grants: rejected };
        vec![Outgoing { to: from, message }]
    }

    fn remove_returned(&mut self, grants: &[GrantId]) {
        for slots in self.targets.values_mut() {
            for grant in grants {
                slots.lent.swap_remove(grant);
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

    fn target(&self, target: TargetKey) -> Option<&TargetSlots> {
        Some(self.targets.get_index(target.0 as usize)?.1)
    }

    fn target_mut(&mut self, target: TargetKey) -> Option<&mut TargetSlots> {
        Some(self.targets.get_index_mut(target.0 as usize)?.1)
    }
}
