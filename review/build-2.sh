#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They have no dependencies and need no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
for number in 2 3; do
    cargo build --release --offline --manifest-path "$root/review/standin-$number/Cargo.toml" --target-dir "$root/target/review-$number"
done
