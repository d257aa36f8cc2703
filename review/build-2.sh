#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/rig/Cargo.toml --target-dir target/review
