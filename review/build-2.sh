#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It has no dependencies and needs no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --offline --manifest-path "$root/review/standin-2/Cargo.toml" --target-dir "$root/target/review-2"
