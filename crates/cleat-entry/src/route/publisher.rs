//! Brings the routes up to the replicated state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cleat_decide::slot_share;
use cleat_world::{Service, Target as Announced, World};
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Route, Routes};
use crate::config::EntryConfig;
use crate::service::{CLOSE_GRACE, ServiceState};
use crate::target::{ServiceSlots, SlotMessage, Slots, Target};

/// What of the state the routes are made from: the version of the
/// configuration and the announcements, each named by its log index.
#[derive(Debug, Default, PartialEq, Eq)]
struct Source {
    version: u64,
    incarnations: Vec<u64>,
}

/// Makes each version of the routes from the one before.
pub(crate) struct Publisher {
    epoch: Instant,
    source: Source,
    services: IndexMap<Box<str>, Arc<ServiceState>>,
    /// Invariant: exactly the targets of the latest routes.
    targets: IndexMap<(Box<str>, SocketAddr), Arc<Target>>,
    /// By name of the target; kept until its last request has finished.
    slots: IndexMap<Box<str>, Arc<Slots>>,
    /// By service. Kept for good: what was lent is known here only.
    sharing: IndexMap<Box<str>, Arc<ServiceSlots>>,
    outbox: mpsc::Sender<SlotMessage>,
}

type Grouped = IndexMap<Box<str>, Vec<Arc<Target>>>;

impl Publisher {
    pub(crate) fn new(epoch: Instant, outbox: mpsc::Sender<SlotMessage>) -> Publisher {
        Publisher {
            epoch,
            source: Source::default(),
            services: IndexMap::new(),
            targets: IndexMap::new(),
            slots: IndexMap::new(),
            sharing: IndexMap::new(),
            outbox,
        }
    }

    /// The routes of `world`, or `None` if they are those of the call before.
    /// From its return on no request begins by what the world no longer has.
    pub(crate) fn update(
        &mut self,
        world: &World,
        cfg: &EntryConfig,
        incarnation_start_index: Option<u64>,
    ) -> Option<Routes> {
        if !self.source.take_over(world) {
            return None;
        }
        let fleet = world.fleet();
        for (_, name, terms) in fleet.services.iter() {
            self.update_sharing(name, terms, cfg);
        }
        let mut grouped = self.update_targets(world, cfg, incarnation_start_index);
        let mut routes = Routes {
            services: IndexMap::with_capacity(fleet.services.len()),
            keys: fleet.keys,
        };
        for (_, name, terms) in fleet.services.iter() {
            let targets = grouped.swap_remove(name).unwrap_or_default();
            let state = self.update_service(name, terms, targets, cfg.seed);
            let terms = Arc::new(terms.clone());
            routes.services.insert(name.into(), Route { terms, state });
        }
        self.close_removed(&routes);
        Some(routes)
    }

    fn update_sharing(&mut self, name: &str, terms: &Service, cfg: &EntryConfig) {
        let longest = Duration::from_millis(terms.deadline_ms) + CLOSE_GRACE;
        if let Some(sharing) = self.sharing.get(name) {
            sharing.set_longest_request(longest);
            return;
        }
        let outbox = self.outbox.clone();
        let sharing = ServiceSlots::new(name, cfg, longest, self.epoch, outbox);
        self.sharing.insert(name.into(), Arc::new(sharing));
    }

    fn update_service(
        &mut self,
        name: &str,
        terms: &Service,
        targets: Vec<Arc<Target>>,
        seed: u64,
    ) -> Arc<ServiceState> {
        let count = self.services.len() as u64;
        let epoch = self.epoch;
        let state = match self.services.get(name) {
            Some(state) => Arc::clone(state),
            None => {
                let slots = Arc::clone(&self.sharing[name]);
                let seed = seed.wrapping_add(count);
                Arc::new(ServiceState::new(terms, slots, seed, epoch))
            }
        };
        self.services.insert(name.into(), Arc::clone(&state));
        state.update(terms, targets);
        state
    }

    /// Withdraws what is gone and groups what is there by service.
    fn update_targets(
        &mut self,
        world: &World,
        cfg: &EntryConfig,
        incarnation_start_index: Option<u64>,
    ) -> Grouped {
        let now = self.epoch.elapsed();
        let mut before = std::mem::take(&mut self.targets);
        let mut grouped = Grouped::new();
        for (name, announced) in world.serving_targets() {
            // Alone, an entry has lent nothing, and its end cut off its requests.
            let alone = cfg.entries.len() == 1;
            let fresh =
                alone || incarnation_start_index.is_some_and(|began| announced.incarnation > began);
            let slots = self.slots_of(name, announced, cfg, fresh);
            let target = self.target(name, announced, slots, &mut before, cfg, now);
            let service = announced.announcement.service.clone();
            grouped.entry(service).or_default().push(target);
        }
        for target in before.values() {
            target.withdraw();
        }
        for (name, slots) in &self.slots {
            if !world.targets().contains_key(name) {
                slots.service().remove_target(name);
            }
        }
        let shared = |slots: &Arc<Slots>| Arc::strong_count(slots) > 1;
        self.slots
            .retain(|_, slots| shared(slots) || slots.in_flight() > 0);
        grouped
    }

    /// The slots of a target as it announced itself.
    fn slots_of(
        &mut self,
        name: &str,
        announced: &Announced,
        cfg: &EntryConfig,
        fresh: bool,
    ) -> Arc<Slots> {
        let said = &announced.announcement;
        let cap = said.slots.min(said.connections);
        let service = &self.sharing[&said.service];
        let known = self.slots.get(name).cloned();
        let slots = match known {
            Some(slots) if Arc::ptr_eq(slots.service(), service) => {
                service.set_cap(name, cap, fresh);
                slots
            }
            moved => {
                let slots = Arc::new(service.target(name, cap, fresh));
                if let Some(before) = moved {
                    before.service().remove_target(name);
                    service.hold_back(slots.key());
                }
                slots
            }
        };
        slots.set_connections(slot_share(name, said.connections, &cfg.entries, &cfg.name));
        self.slots.insert(name.into(), Arc::clone(&slots));
        slots
    }

    fn target(
        &mut self,
        name: &str,
        announced: &Announced,
        slots: Arc<Slots>,
        before: &mut IndexMap<(Box<str>, SocketAddr), Arc<Target>>,
        cfg: &EntryConfig,
        now: Duration,
    ) -> Arc<Target> {
        let said = &announced.announcement;
        let id = (Box::from(name), said.address);
        let same = |target: &Arc<Target>| Arc::ptr_eq(&target.slots, &slots);
        let known = before.get(&id).is_some_and(same);
        let known = known.then(|| before.swap_remove(&id)).flatten();
        let target = known.unwrap_or_else(|| {
            let local = said.data_centre == cfg.data_centre;
            Arc::new(Target::new(name.into(), said.address, local, slots, now))
        });
        self.targets.insert(id, Arc::clone(&target));
        target
    }

    /// Requests that wait for a service that is gone are refused.
    fn close_removed(&mut self, routes: &Routes) {
        self.services.retain(|name, state| {
            let kept = routes.services.contains_key(name);
            if !kept {
                state.close();
            }
            kept
        });
    }
}

impl Source {
    /// Whether `world` differs. Cheap: it is asked after every change of the
    /// state, and most concern only idempotency keys.
    fn take_over(&mut self, world: &World) -> bool {
        let incarnations = || {
            world
                .serving_targets()
                .map(|(_, target)| target.incarnation)
        };
        let same =
            self.version == world.version() && self.incarnations.iter().copied().eq(incarnations());
        if !same {
            self.version = world.version();
            self.incarnations = incarnations().collect();
        }
        !same
    }
}
