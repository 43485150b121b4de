//! Small typed keys into the arenas of one configuration version.
//!
//! An id is valid only for the [`FleetConfig`](crate::FleetConfig) that made
//! it; names are what lasts from version to version.

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
    /// A data centre.
    DataCentreId
}
key! {
    /// A pool of instances.
    PoolId
}
key! {
    /// An instance, a machine that belongs to exactly one pool.
    InstanceId
}
key! {
    /// A service that callers name in the first segment of the path.
    ServiceId
}
