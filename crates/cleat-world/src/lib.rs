//! The objects of the fleet: ids, arenas, configuration, replicated state and its commands.
