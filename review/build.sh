#!/bin/sh
# Builds the stand-ins of all scripts; needs the build of the deploy file for the daemons.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
