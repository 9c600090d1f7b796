#!/usr/bin/env bash
# Builds the workspace, runs three instances in two failure domains with stand-in targets on loopback,
# and shows a streamed chat request, an order that must not be repeated, an engine that dies in
# mid-stream, and both reports. Exits with 0 only if all of it held.
set -euo pipefail
cd "$(dirname "$0")"

cargo build --quiet --workspace --bins
bin=${CARGO_TARGET_DIR:-target}/debug
run=$(mktemp -d)
pids=()
failed=0

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$run"
}
trap stop_all EXIT

say() { printf '\n== %s\n' "$*"; }
# Prints a check's result and remembers a failure.
expect() {
  if eval "$2"; then printf 'ok: %s\n' "$1"; else printf 'FAILED: %s\n' "$1"; failed=1; fi
}
# Runs a command until it succeeds, for at most $1 tenths of a second.
await() {
  local left=$1; shift
  until "$@" >/dev/null 2>&1; do
    left=$((left - 1))
    if [ "$left" -le 0 ]; then return 1; fi
    sleep 0.1
  done
}

# A port counts as free if nothing accepts a connection on it. The range ends below the one from which the
# system takes ports of outgoing connections.
next=$((10000 + RANDOM % 20000))
free_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$next") 2>/dev/null; do next=$((next + 1)); done
  port=$next
  next=$((next + 1))
}

instances=(north-1 north-2 south-1)
domain_of() { echo "${1%-*}"; }
for name in "${instances[@]}"; do
  for use in callers operators targets peers; do
    free_port
    declare "${name//-/_}_$use=$port"
  done
done
port_of() { local variable="${1//-/_}_$2"; echo "${!variable}"; }

# The daemons' settings: one file each, the peer list the same in all of them.
for name in "${instances[@]}"; do
  {
    echo "[instance]"
    echo "name = $name"
    echo "domain = $(domain_of "$name")"
    echo "data = $run/$name"
    echo "[listen]"
    for use in callers operators targets peers; do echo "$use = 127.0.0.1:$(port_of "$name" "$use")"; done
    echo "heartbeat = 127.0.0.1:$(port_of "$name" peers)"
    echo "[keys]"
    echo "cluster = 1f0c7d52c7f64f4b8d0e9a3b5c6d7e8f1f0c7d52c7f64f4b8d0e9a3b5c6d7e8f"
    echo "platform-token-sha256 = $(printf platform-secret | sha256sum | cut -c1-64)"
    echo "targets = target-secret"
    for peer in "${instances[@]}"; do
      echo "[peer $peer]"
      echo "domain = $(domain_of "$peer")"
      echo "address = 127.0.0.1:$(port_of "$peer" peers)"
      echo "heartbeat = 127.0.0.1:$(port_of "$peer" peers)"
      echo "voter = yes"
    done
  } >"$run/$name.ini"
done

say "start three instances in two failure domains"
daemons=()
for name in "${instances[@]}"; do
  "$bin/buckthornmastd" --config "$run/$name.ini" --check
  "$bin/buckthornmastd" --config "$run/$name.ini" 2>"$run/$name.log" &
  pids+=($!); daemons+=($!)
done
export BUCKTHORNMAST_TOKEN=platform-secret
export BUCKTHORNMAST_SERVERS
BUCKTHORNMAST_SERVERS=$(for name in "${instances[@]}"; do printf '127.0.0.1:%s,' "$(port_of "$name" operators)"; done)

say "start four engines and a plain service"
start_target() { # name, domain, kind, service, further flags
  local name=$1 domain=$2 kind=$3 service=$4; shift 4
  local reports=()
  for instance in "${instances[@]}"; do
    if [ "$(domain_of "$instance")" = "$domain" ]; then
      reports+=(--report-to "127.0.0.1:$(port_of "$instance" targets)")
    fi
  done
  "$bin/buckthornmast-standin" --name "$name" --domain "$domain" --kind "$kind" --service "$service" \
    --listen 127.0.0.1:0 "${reports[@]}" "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  declare -g "pid_${name//-/_}=$!"
}
for engine in engine-n1:north engine-n2:north engine-s1:south engine-s2:south; do
  start_target "${engine%:*}" "${engine#*:}" engine chat --memory 24GiB --access-token target-secret --load-rate 20GiB
done
start_target counter-n1 north counter ledger --plain

say "apply the declarations"
"$bin/buckthornmastctl" check examples/declarations
await 100 "$bin/buckthornmastctl" status
"$bin/buckthornmastctl" diff examples/declarations | head -5
"$bin/buckthornmastctl" apply examples/declarations
expect "a second apply finds no difference" \
  '"$bin/buckthornmastctl" apply examples/declarations | grep -c "no difference" | grep -qx 2'

caller=127.0.0.1:$(port_of north-1 callers)
other=127.0.0.1:$(port_of south-1 callers)
chat() { # instance, model, prompt, tokens, stream
  curl -sS -N --max-time 30 "http://$1/v1/chat/completions" -H 'Content-Type: application/json' \
    -d "{\"model\":\"$2\",\"messages\":[{\"role\":\"user\",\"content\":\"$3\"}],\"max_tokens\":$4,\"stream\":$5}"
}
# Succeeds once a model answers at both instances that callers use below.
answers() {
  chat "$caller" "$1" hello 1 false | grep -q chat.completion &&
    chat "$other" "$1" hello 1 false | grep -q chat.completion
}
say "wait until every model answers"
for model in proof-reader catalogue macon-orders; do
  expect "$model answers" "await 200 answers $model"
done

say "a streamed chat request"
chat "$caller" proof-reader "two lacquers please" 5 true | tee "$run/stream.txt"
expect "the stream has five tokens and its proper end" \
  '[ "$(grep -c "\"content\"" "$run/stream.txt")" = 5 ] && grep -q "\[DONE\]" "$run/stream.txt"'

say "an order that must not be repeated, sent to two instances"
# A UUIDv7: 48 bits of milliseconds, then the version, then random bits.
random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
stamp=$(printf '%012x' "$(date +%s%3N)")
key="${stamp:0:8}-${stamp:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
order() {
  curl -sS -i --max-time 20 "http://$1/services/ledger/orders" -H "Idempotency-Key: $key" -d '{"record":"LP 7","copies":300}'
}
order "$caller" | tee "$run/first.txt"; echo
order "$other" | tee "$run/second.txt"; echo
expect "the first order ran" 'grep -q "^HTTP/1.1 200" "$run/first.txt"'
expect "the resend got the first answer" \
  'grep -q "^HTTP/1.1 200" "$run/second.txt" && [ "$(tail -1 "$run/first.txt")" = "$(tail -1 "$run/second.txt")" ]'
counter=$(sed -n 's/^listening on //p' "$run/counter-n1.log")
expect "the service ran it once" 'curl -sS "http://$counter/counters" | grep -q "\"repeated\":0,\|\"total\":1"'

say "an engine dies in mid-stream"
chat "$caller" proof-reader "three sleeves and a proof" 120 true >"$run/broken.txt" &
stream=$!
tokens_of() { # engine
  local address
  address=$(sed -n 's/^listening on //p' "$run/$1.log")
  curl -sS "http://$address/counters" | sed 's/.*"tokens":\([0-9]*\).*/\1/'
}
# The engine whose tokens go up is the busy one.
find_busy() {
  local name before
  for name in engine-n1 engine-n2 engine-s1 engine-s2; do
    before=$(tokens_of "$name")
    sleep 0.2
    if [ "$(tokens_of "$name")" -gt "$before" ]; then busy=$name; return 0; fi
  done
  return 1
}
busy=""
await 20 find_busy || true
if [ -z "$busy" ]; then echo "FAILED: no engine is busy"; exit 1; fi
variable="pid_${busy//-/_}"
echo "killing $busy"
kill -KILL "${!variable}"
wait "$stream" || true
head -c 300 "$run/broken.txt"; echo ...
tail -3 "$run/broken.txt"
expect "the stream went on elsewhere to its proper end" \
  '[ "$(grep -c "\"content\"" "$run/broken.txt")" = 120 ] && grep -q "\[DONE\]" "$run/broken.txt"'
expect "no token is missing or doubled" \
  '[ "$(sed -n "s/.*\"content\":\"[a-z]*-\([0-9]*\) \".*/\1/p" "$run/broken.txt" | tr "\n" " ")" = "$(seq -s " " 0 119) " ]'
expect "the next request is answered" 'chat "$other" proof-reader "again" 3 false | grep -q "again-2"'

say "status and reports"
"$bin/buckthornmastctl" status
"$bin/buckthornmastctl" report burn || failed=1
"$bin/buckthornmastctl" report policies || failed=1
for name in burn policies; do
  expect "the chart of $name is an SVG" \
    '"$bin/buckthornmastctl" report $name --svg "$run/$name.svg" && grep -q "</svg>" "$run/$name.svg"'
done
expect "a team reads its own burn with its own token" \
  'BUCKTHORNMAST_TOKEN=press-secret "$bin/buckthornmastctl" report burn | grep -q "press/counter"'

say "stop gracefully"
for pid in "${daemons[@]}"; do kill -TERM "$pid"; done
for pid in "${daemons[@]}"; do
  if wait "$pid"; then echo "ok: instance $pid ended with 0"; else echo "FAILED: instance $pid"; failed=1; fi
done

if [ "$failed" = 0 ]; then say "all of it held"; else say "something did not hold"; tail -n 20 "$run"/*.log; fi
exit "$failed"
