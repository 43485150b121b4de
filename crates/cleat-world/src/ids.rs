//! Typed ids of objects in one version of the configuration.
//!
//! An id is valid only for the [`FleetConfig`](crate::FleetConfig) that created it.
//! Objects are identified by name across versions.

use crate::arena::Key;

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(u32);

        impl Key for $name {
            fn from_index(index: u32) -> Self {
                $name(index)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

key! {
    /// The id of a data centre.
    DataCentreId
}
key! {
    /// The id of a pool of instances.
    PoolId
}
key! {
    /// The id of an instance, a machine that belongs to exactly one pool.
    InstanceId
}
key! {
    /// The id of a service, which callers name in the first segment of the path.
    ServiceId
}
