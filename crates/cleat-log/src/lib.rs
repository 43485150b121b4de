//! Write-ahead log and snapshots in the data folder.
