#!/usr/bin/env bash
# Plays a case: run-case.sh CASE-FOLDER SCENE. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't be played.
set -u
here=$(cd "$1" && pwd)
root=$(cd "$here/../.." && pwd)
scene="$root/target/review-2/release/scene"
program="$root/target/release/buckthornmast-node"
if [ ! -x "$scene" ] || [ ! -x "$program" ]; then
    echo "build the system and review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2

# Ends what an interrupted scene has left behind.
clean() {
    if [ -f "$folder/processes" ]; then
        while read -r id; do
            if [ "$(readlink "/proc/$id/exe")" = "$program" ]; then
                kill -KILL "$id"
            fi
        done < "$folder/processes"
    fi
    rm -rf "$folder"
}
trap clean EXIT

timeout -k 2 115 "$scene" "$2" "$program" "$folder" "$here/record.txt"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
