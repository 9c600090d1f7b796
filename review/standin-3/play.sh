#!/usr/bin/env bash
# Plays a case: play.sh FOLDER CASE. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
player=target/review-3/release/review-standin-3
if [ ! -x "$player" ] || [ ! -x target/release/buckthornmast-node ]; then
    echo "run the build of the deploy file and the build script of the review first" >&2
    exit 2
fi
# Clients that aren't controlled hold thousands of connections.
ulimit -n 16384 2>/dev/null || ulimit -n "$(ulimit -Hn)"
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER RECORD="$folder/record.txt"

finish() {
    # A player that was killed leaves its processes behind.
    if [ -f "$CASE_FOLDER/pids" ]; then
        while read -r pid; do
            if grep -qs buckthornmast-node "/proc/$pid/cmdline"; then
                kill -KILL "$pid"
            fi
        done < "$CASE_FOLDER/pids"
    fi
    rm -rf "$CASE_FOLDER"
}
trap finish EXIT

timeout -k 3 110 "$player" "$2"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
