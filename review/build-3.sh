#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
