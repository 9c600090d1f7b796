#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They have no dependencies, so no registry is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-3 cargo build --release --offline --manifest-path review/standin-4/Cargo.toml
