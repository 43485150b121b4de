//! Brings the routes up to the replicated state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cleat_decide::share;
use cleat_world::{Service, Target as Announced, World};
use indexmap::IndexMap;
use tokio::time::Instant;

use super::{Route, Routes};
use crate::config::EntryConfig;
use crate::service::ServiceState;
use crate::target::{Slots, Target};

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
}

type Grouped = IndexMap<Box<str>, Vec<Arc<Target>>>;

impl Publisher {
    pub(crate) fn new(epoch: Instant) -> Publisher {
        Publisher {
            epoch,
            source: Source::default(),
            services: IndexMap::new(),
            targets: IndexMap::new(),
            slots: IndexMap::new(),
        }
    }

    /// The routes of `world`, or `None` if they are those of the call before.
    /// From its return on no request begins by what the world no longer has.
    pub(crate) fn update(&mut self, world: &World, cfg: &EntryConfig) -> Option<Routes> {
        if !self.source.take_over(world) {
            return None;
        }
        let mut grouped = self.update_targets(world, cfg);
        let fleet = world.fleet();
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

    fn update_service(
        &mut self,
        name: &str,
        terms: &Service,
        targets: Vec<Arc<Target>>,
        seed: u64,
    ) -> Arc<ServiceState> {
        let count = self.services.len() as u64;
        let epoch = self.epoch;
        let state = self.services.entry(name.into());
        let new = || Arc::new(ServiceState::new(terms, seed.wrapping_add(count), epoch));
        let state = Arc::clone(state.or_insert_with(new));
        state.update(terms, targets);
        state
    }

    /// Withdraws what is gone and groups what is there by service.
    fn update_targets(&mut self, world: &World, cfg: &EntryConfig) -> Grouped {
        let now = self.epoch.elapsed();
        let mut before = std::mem::take(&mut self.targets);
        let mut grouped = Grouped::new();
        for (name, announced) in world.targets() {
            let target = self.target(name, announced, &mut before, cfg, now);
            let service = announced.announcement.service.clone();
            grouped.entry(service).or_default().push(target);
        }
        for target in before.values() {
            target.withdraw();
        }
        let shared = |slots: &Arc<Slots>| Arc::strong_count(slots) > 1;
        self.slots
            .retain(|_, slots| shared(slots) || slots.in_flight() > 0);
        grouped
    }

    fn target(
        &mut self,
        name: &str,
        announced: &Announced,
        before: &mut IndexMap<(Box<str>, SocketAddr), Arc<Target>>,
        cfg: &EntryConfig,
        now: Duration,
    ) -> Arc<Target> {
        let said = &announced.announcement;
        let cap = said.slots.min(said.connections);
        let slots = self.slots.entry(name.into()).or_default();
        slots.set_share(share(name, cap, &cfg.entries, &cfg.name));
        let id = (Box::from(name), said.address);
        let known = before.swap_remove(&id);
        let target = known.unwrap_or_else(|| {
            let local = said.data_centre == cfg.data_centre;
            let slots = Arc::clone(slots);
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
        let incarnations = || world.targets().values().map(|target| target.incarnation);
        let same = self.version == world.version()
            && self.incarnations.len() == world.targets().len()
            && self.incarnations.iter().copied().eq(incarnations());
        if !same {
            self.version = world.version();
            self.incarnations = incarnations().collect();
        }
        !same
    }
}
