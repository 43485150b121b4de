//! One version of the routes, replaced as a whole.

use std::sync::Arc;

use cleat_world::{KeyTerms, Service};
use indexmap::IndexMap;

use crate::service::ServiceState;

/// What requests look up.
#[derive(Default)]
pub(crate) struct Routes {
    pub(crate) services: IndexMap<Box<str>, Route>,
    pub(crate) keys: KeyTerms,
}

/// One service.
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
