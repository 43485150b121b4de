//! An instance's own settings: read, checked, every fault reported with its JSON path.
