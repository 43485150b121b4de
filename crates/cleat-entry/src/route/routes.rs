//! One version of the routes. It is immutable and replaced as a whole.

use std::sync::Arc;

use cleat_world::{KeyTerms, Service};
use indexmap::IndexMap;

use crate::service::ServiceState;

/// The routes of all services.
#[derive(Default)]
pub(crate) struct Routes {
    pub(crate) services: IndexMap<Box<str>, Route>,
    pub(crate) keys: KeyTerms,
}

/// The route of one service.
#[derive(Clone)]
pub(crate) struct Route {
    pub(crate) config: Arc<Service>,
    pub(crate) state: Arc<ServiceState>,
}

impl Routes {
    pub(crate) fn find(&self, service: &str) -> Option<&Route> {
        self.services.get(service)
    }
}
