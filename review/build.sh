#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
