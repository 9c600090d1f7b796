#!/usr/bin/env bash
# Plays a case: play.sh CASE-FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/release/standin-4
[ -x "$program" ] && [ -x target/release/buckthornmast-node ] || {
    echo "not built: see deploy/system.toml and review/build-3.sh"
    exit 2
}
folder=$(mktemp -d) || exit 2
player=

# The nodes end with the player.
clean() {
    if [ -n "$player" ]; then
        kill -TERM "$player" 2>/dev/null
        wait "$player"
    fi
    rm -rf "$folder"
}
trap clean EXIT
trap 'exit 2' INT TERM HUP

TMPDIR="$folder" timeout -k 2 115 "$program" "$2" . "$1/record.txt" &
player=$!
wait "$player"
code=$?
player=
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
