#!/usr/bin/env bash
# Checks that a rolling upgrade from one build to another keeps settings and order answers and runs no order twice:
#   tools/upgrade-check.sh OLD_BIN NEW_BIN
#
# OLD_BIN and NEW_BIN are folders with the programs of two builds. Three voters of the old build take settings, orders
# and chat requests. They are replaced one by one by the new build on the same data folders, under load, and the same
# calls are made through each instance after each step, the leader's replacement included. Exits with 0 only if all
# checks passed.
set -euo pipefail
[ $# -eq 2 ] || { echo "usage: tools/upgrade-check.sh OLD_BIN NEW_BIN" >&2; exit 2; }
old=$(realpath "$1") new=$(realpath "$2")
cd "$(dirname "$0")/.."
run=$(mktemp -d)
pids=()
failed=0
trap 'kill -KILL "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; [ $failed = 0 ] && rm -rf "$run" || echo "folder of the run kept: $run"' EXIT

expect() { if eval "$2"; then echo "ok: $1"; else echo "FAILED: $1"; failed=1; fi; }
# Runs a command until it succeeds, for at most $1 tenths of a second.
await() {
  local left=$1; shift
  until "$@" >/dev/null 2>&1; do
    left=$((left - 1))
    if [ "$left" -le 0 ]; then return 1; fi
    sleep 0.1
  done
}
next=$((10000 + RANDOM % 20000))
# Sets port to the next one to which nothing listens.
free_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$next") 2>/dev/null; do next=$((next + 1)); done
  port=$next
  next=$((next + 1))
}

instances=(a b c)
declare -A ports pid_of bin_of
for name in "${instances[@]}"; do
  for use in callers operators targets peers; do free_port; ports[$name,$use]=$port; done
done
for name in "${instances[@]}"; do
  {
    printf '[instance]\nname = %s\ndomain = north\ndata = %s\n[listen]\n' "$name" "$run/$name"
    for use in callers operators targets peers; do echo "$use = 127.0.0.1:${ports[$name,$use]}"; done
    echo "heartbeat = 127.0.0.1:${ports[$name,peers]}"
    printf '[keys]\ncluster = 1f0c7d52c7f64f4b8d0e9a3b5c6d7e8f1f0c7d52c7f64f4b8d0e9a3b5c6d7e8f\n'
    printf 'platform-token-sha256 = %s\ntargets = target-secret\n' "$(printf platform-secret | sha256sum | cut -c1-64)"
    for peer in "${instances[@]}"; do
      printf '[peer %s]\ndomain = north\nvoter = yes\n' "$peer"
      printf 'address = 127.0.0.1:%s\nheartbeat = 127.0.0.1:%s\n' "${ports[$peer,peers]}" "${ports[$peer,peers]}"
    done
  } >"$run/$name.ini"
done
start() { # instance, folder of programs
  "$2/buckthornmastd" --config "$run/$1.ini" --check
  "$2/buckthornmastd" --config "$run/$1.ini" 2>>"$run/$1.log" &
  pid_of[$1]=$!; pids+=($!); bin_of[$1]=$2
}
for name in "${instances[@]}"; do start "$name" "$old"; done
export BUCKTHORNMAST_TOKEN=platform-secret
BUCKTHORNMAST_SERVERS=$(for name in "${instances[@]}"; do printf '127.0.0.1:%s,' "${ports[$name,operators]}"; done)
export BUCKTHORNMAST_SERVERS
reports=()
for name in "${instances[@]}"; do reports+=(--report-to "127.0.0.1:${ports[$name,targets]}"); done
for target in engine-1:engine:chat engine-2:engine:chat counter-1:counter:ledger; do
  IFS=: read -r name kind service <<<"$target"
  flags=(--memory 24GiB --access-token target-secret --load-rate 20GiB)
  [ "$kind" = counter ] && flags=(--plain)
  "$old/buckthornmast-standin" --name "$name" --domain north --kind "$kind" --service "$service" \
    --listen 127.0.0.1:0 "${reports[@]}" "${flags[@]}" >"$run/$name.log" 2>&1 &
  pids+=($!)
done

cp -r examples/declarations "$run/declarations"
settings="$run/declarations"
chat() { # instance
  curl -sS -N --max-time 30 "http://127.0.0.1:${ports[$1,callers]}/v1/chat/completions" \
    -d '{"model":"proof-reader","messages":[{"role":"user","content":"a sleeve"}],"max_tokens":5,"stream":true}' |
    grep -q '\[DONE\]'
}
# Prints an idempotency key: a UUID of version 7.
new_key() {
  local random stamp
  random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
  stamp=$(printf '%012x' "$(date +%s%3N)")
  echo "${stamp:0:8}-${stamp:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}
order() { # instance, key
  curl -sS -i --max-time 20 "http://127.0.0.1:${ports[$1,callers]}/services/ledger/orders" -H "Idempotency-Key: $2" \
    -d '{"record":"LP 7","copies":300}'
}
status() { "${bin_of[$1]}/buckthornmastctl" --json status; }
# Succeeds if every instance is alive and has all settings, and every replica takes part in a log with a leader.
is_settled() {
  local text
  text=$(status a | tr -d ' \n')
  [ "$(grep -o '"reached":true' <<<"$text" | wc -l)" = 3 ] &&
    [ "$(grep -oE '"role":"(follower|leader)"' <<<"$text" | wc -l)" = 3 ] && grep -q '"role":"leader"' <<<"$text"
}
# Sets the priority of a model of the team press, with the command-line tool of the given build.
apply() { # folder of programs, priority
  sed -i -E "s/^(priority *= *)[0-9]+/\1$2/" "$settings"/teams/press.ini
  "$1/buckthornmastctl" apply "$settings" >/dev/null
}
keys=()
# Makes one chat request and one order through each instance.
serve() { # label of the builds that run
  for name in "${instances[@]}"; do
    expect "$1: a generation through $name" "await 100 chat $name"
    local key answer
    key=$(new_key)
    answer=$(order "$name" "$key" | tee "$run/order-$key.txt" | head -1)
    expect "$1: an order through $name" 'grep -q "^HTTP/1.1 200" <<<"$answer"'
    keys+=("$key")
  done
}

expect "the old build takes the declarations" 'await 100 "$old/buckthornmastctl" apply "$settings"'
expect "old: settled" "await 200 is_settled"
serve "old"
# Load: requests through all instances until the replacement is over, at most 600 rounds.
(
  for ((round = 0; round < 600; round++)); do
    [ -e "$run/stop-load" ] && break
    for name in "${instances[@]}"; do
      if chat "$name" 2>/dev/null; then echo "answered $name"; else echo "not answered $name"; fi
    done
  done >"$run/load.txt"
) &
load=$!; pids+=($!)

priority=1
# The leader goes last, so that a new leader is elected among replicas of the new build.
leader=$(status a | tr -d ' \n' | grep -oE '"leader":"[abc]"' | head -1 | cut -d'"' -f4 || true)
leader=${leader:-a}
replaced=""
for name in $(for one in "${instances[@]}"; do [ "$one" = "$leader" ] || echo "$one"; done) "$leader"; do
  kill -TERM "${pid_of[$name]}"
  code=0; wait "${pid_of[$name]}" || code=$?
  expect "$name of the old build stops with 0" '[ $code = 0 ]'
  start "$name" "$new"
  replaced="$replaced $name"
  expect "new:$replaced: settled" "await 300 is_settled"
  for build in "$old" "$new"; do
    priority=$((priority + 1))
    expect "new:$replaced: apply by $([ "$build" = "$old" ] && echo old || echo new) tool" 'apply "$build" "$priority"'
  done
  serve "new:$replaced"
done
touch "$run/stop-load"; wait "$load" || true
echo "load: $(grep -c ^answered "$run/load.txt") answered, $(grep -c '^not' "$run/load.txt" || true) not (an instance that is being replaced takes no calls)"
for key in "${keys[@]}"; do
  expect "order $key has its first answer" \
    '[ "$(order a "$key" | tail -1)" = "$(tail -1 "$run/order-$key.txt")" ]'
done
counter=$(sed -n 's/^listening on //p' "$run/counter-1.log")
counters=$(curl -sS "http://$counter/counters")
expect "no order ran twice ($counters)" 'grep -q "\"repeated\":0" <<<"$counters"'
expect "both tools find no difference" \
  '[ "$("$old/buckthornmastctl" diff "$settings")" = "$("$new/buckthornmastctl" diff "$settings")" ]'
"$new/buckthornmastctl" status
expect "no log line of a fault" '! grep -hE "\"level\":\"ERROR\"" "$run"/[abc].log'
exit $failed
