//! Stand-ins of the systems served, with a load and measuring tool. Tests and benches only.
