//! Derives the routes from the replicated state.

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
use crate::target::{ServiceSlots, SlotMessage, Target, TargetSlots};

/// Identifies the state that the routes were derived from, by the version of
/// the configuration and the log index of each announcement.
#[derive(Debug, Default, PartialEq, Eq)]
struct SourceVersion {
    version: u64,
    incarnations: Vec<u64>,
}

/// Derives each version of the routes from the previous one.
pub(crate) struct RouteUpdater {
    epoch: Instant,
    source: SourceVersion,
    services: IndexMap<Box<str>, Arc<ServiceState>>,
    /// Invariant: exactly the targets of the latest routes.
    targets: IndexMap<(Box<str>, SocketAddr), Arc<Target>>,
    /// By name of the target. Retained until the last request at the target has
    /// finished.
    slots: IndexMap<Box<str>, Arc<TargetSlots>>,
    /// By service. Never removed, because only this state knows which slots
    /// were lent.
    service_slots: IndexMap<Box<str>, Arc<ServiceSlots>>,
    outbox: mpsc::Sender<SlotMessage>,
}

type TargetsByService = IndexMap<Box<str>, Vec<Arc<Target>>>;

impl RouteUpdater {
    pub(crate) fn new(epoch: Instant, outbox: mpsc::Sender<SlotMessage>) -> RouteUpdater {
        RouteUpdater {
            epoch,
            source: SourceVersion::default(),
            services: IndexMap::new(),
            targets: IndexMap::new(),
            slots: IndexMap::new(),
            service_slots: IndexMap::new(),
            outbox,
        }
    }

    /// Returns the routes of `world`, or `None` if they did not change since
    /// the previous call. After the call, no new request uses a service or
    /// target that `world` no longer contains.
    pub(crate) fn update(
        &mut self,
        world: &World,
        cfg: &EntryConfig,
        incarnation_start_index: Option<u64>,
    ) -> Option<Routes> {
        if !self.source.update_from(world) {
            return None;
        }
        let fleet = world.fleet();
        for (_, name, config) in fleet.services.iter() {
            self.update_service_slots(name, config, cfg);
        }
        let mut by_service = self.update_targets(world, cfg, incarnation_start_index);
        let mut routes = Routes {
            services: IndexMap::with_capacity(fleet.services.len()),
            keys: fleet.keys,
        };
        for (_, name, config) in fleet.services.iter() {
            let targets = by_service.swap_remove(name).unwrap_or_default();
            let state = self.update_service(name, config, targets, cfg.seed);
            let config = Arc::new(config.clone());
            routes.services.insert(name.into(), Route { config, state });
        }
        self.close_removed(&routes);
        Some(routes)
    }

    fn update_service_slots(&mut self, name: &str, config: &Service, cfg: &EntryConfig) {
        let max_request_duration = Duration::from_millis(config.deadline_ms) + CLOSE_GRACE;
        if let Some(service_slots) = self.service_slots.get(name) {
            service_slots.set_max_request_duration(max_request_duration);
            return;
        }
        let outbox = self.outbox.clone();
        let service_slots = ServiceSlots::new(name, cfg, max_request_duration, self.epoch, outbox);
        self.service_slots
            .insert(name.into(), Arc::new(service_slots));
    }

    fn update_service(
        &mut self,
        name: &str,
        config: &Service,
        targets: Vec<Arc<Target>>,
        seed: u64,
    ) -> Arc<ServiceState> {
        let count = self.services.len() as u64;
        let epoch = self.epoch;
        let state = match self.services.get(name) {
            Some(state) => Arc::clone(state),
            None => {
                let slots = Arc::clone(&self.service_slots[name]);
                let seed = seed.wrapping_add(count);
                Arc::new(ServiceState::new(config, slots, seed, epoch))
            }
        };
        self.services.insert(name.into(), Arc::clone(&state));
        state.update(config, targets);
        state
    }

    /// Withdraws removed targets and groups the current ones by service.
    fn update_targets(
        &mut self,
        world: &World,
        cfg: &EntryConfig,
        incarnation_start_index: Option<u64>,
    ) -> TargetsByService {
        let now = self.epoch.elapsed();
        let mut previous = std::mem::take(&mut self.targets);
        let mut by_service = TargetsByService::new();
        for (name, announced) in world.serving_targets() {
            // An entry without peers has lent no slots, and the requests of its
            // earlier incarnation ended with that process.
            let is_only_entry = cfg.entries.len() == 1;
            let fresh = is_only_entry
                || incarnation_start_index
                    .is_some_and(|start_index| announced.incarnation > start_index);
            let slots = self.update_slots(name, announced, cfg, fresh);
            let target = self.update_target(name, announced, slots, &mut previous, cfg, now);
            let service = announced.announcement.service.clone();
            by_service.entry(service).or_default().push(target);
        }
        for target in previous.values() {
            target.withdraw();
        }
        for (name, slots) in &self.slots {
            if !world.targets().contains_key(name) {
                slots.service().remove_target(name);
            }
        }
        let shared = |slots: &Arc<TargetSlots>| Arc::strong_count(slots) > 1;
        self.slots
            .retain(|_, slots| shared(slots) || slots.in_flight() > 0);
        by_service
    }

    /// Updates the slots of a target according to its announcement.
    fn update_slots(
        &mut self,
        name: &str,
        announced: &Announced,
        cfg: &EntryConfig,
        fresh: bool,
    ) -> Arc<TargetSlots> {
        let announcement = &announced.announcement;
        let cap = announcement.slots.min(announcement.connections);
        let service = &self.service_slots[&announcement.service];
        let existing = self.slots.get(name).cloned();
        let slots = match existing {
            Some(slots) if Arc::ptr_eq(slots.service(), service) => {
                service.set_cap(name, cap, fresh);
                slots
            }
            other_service => {
                let slots = Arc::new(service.add_target(name, cap, fresh));
                if let Some(previous) = other_service {
                    previous.service().remove_target(name);
                    service.withhold_home_slots(slots.key());
                }
                slots
            }
        };
        slots.set_connection_share(slot_share(
            name,
            announcement.connections,
            &cfg.entries,
            &cfg.name,
        ));
        self.slots.insert(name.into(), Arc::clone(&slots));
        slots
    }

    fn update_target(
        &mut self,
        name: &str,
        announced: &Announced,
        slots: Arc<TargetSlots>,
        previous: &mut IndexMap<(Box<str>, SocketAddr), Arc<Target>>,
        cfg: &EntryConfig,
        now: Duration,
    ) -> Arc<Target> {
        let announcement = &announced.announcement;
        let id = (Box::from(name), announcement.address);
        let is_unchanged = |target: &Arc<Target>| Arc::ptr_eq(&target.slots, &slots);
        let existing = previous.get(&id).is_some_and(is_unchanged);
        let existing = existing.then(|| previous.swap_remove(&id)).flatten();
        let target = existing.unwrap_or_else(|| {
            let local = announcement.data_centre == cfg.data_centre;
            Arc::new(Target::new(
                name.into(),
                announcement.address,
                local,
                slots,
                now,
            ))
        });
        self.targets.insert(id, Arc::clone(&target));
        target
    }

    /// Refuses the waiting requests of removed services.
    fn close_removed(&mut self, routes: &Routes) {
        self.services.retain(|name, state| {
            let exists = routes.services.contains_key(name);
            if !exists {
                state.close();
            }
            exists
        });
    }
}

impl SourceVersion {
    /// Returns whether `world` differs from the recorded state. It must be
    /// cheap, because it is called after every change of the replicated state,
    /// and most changes only concern idempotency keys.
    fn update_from(&mut self, world: &World) -> bool {
        let incarnations = || {
            world
                .serving_targets()
                .map(|(_, target)| target.incarnation)
        };
        let is_unchanged =
            self.version == world.version() && self.incarnations.iter().copied().eq(incarnations());
        if !is_unchanged {
            self.version = world.version();
            self.incarnations = incarnations().collect();
        }
        !is_unchanged
    }
}
