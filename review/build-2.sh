#!/usr/bin/env bash
# Builds the stand-ins of the second review, without a network and without dependencies.
# The daemon comes from the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/standin review/standin-2/main.rs
