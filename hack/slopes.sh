#!/usr/bin/env bash
# Measures the resource use of instances at several sizes and prints the fitted report.
set -u
cd "$(dirname "$0")/.."
bin=${BIN:-bin}
sizes=${SIZES:-"8 16 32 64 128"}
rows=${ROWS:-$(mktemp)}
: >"$rows"
pids=()
export BRAMLEYWHARF_FLEET_SECRET=slopes-fleet-secret-0123 BRAMLEYWHARF_PLATFORM=http://127.0.0.1:18400
operator_hash=$(printf 'slopes' | "$bin/wharfctl" hash -)

# launch COMMAND... starts a process in the background.
launch() {
  "$@" >/dev/null 2>&1 &
  pids+=("$!")
}

# fleet N starts a platform, an engine and N instances, and sets $admins and $callers to the addresses of the instances.
fleet() {
  pids=()
  admins=() callers=()
  launch "$bin/stand" platform --listen 127.0.0.1:18400 --reads 0 --writes 0 --list-lag 0s
  launch "$bin/stand" engine --listen 127.0.0.1:18401 --token-gap "${GAP:-20ms}" --slots 100000
  until "$bin/lab" slopes fleet --platform http://127.0.0.1:18400 --engine 127.0.0.1:18401 2>/dev/null; do sleep 0.1; done
  for i in $(seq "$1"); do
    local base=$((20000 + 3 * i))
    launch "$bin/entry" --name "entry-$i" --failure-domain "fd-$((i % 7))" --listen "127.0.0.1:$base" \
      --peer-listen "127.0.0.1:$((base + 1))" --admin-listen "127.0.0.1:$((base + 2))" --operator-key-hash "$operator_hash" \
      --seeds 127.0.0.1:20004,127.0.0.1:20007 --lame-duck 0s --log-level error
    callers+=("127.0.0.1:$base")
    admins+=("127.0.0.1:$((base + 2))")
  done
  sleep "${SETTLE:-45}" # Updates about the start have reached every instance by then.
}

# stop kills the processes that fleet started.
stop() {
  kill -KILL "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
}

join() { local IFS=,; echo "$*"; }

# measure ARGS... measures one row and appends it to $rows.
measure() {
  "$bin/lab" slopes measure --platform http://127.0.0.1:18400 --for "${FOR:-8s}" "$@" >>"$rows"
}

for n in $sizes; do
  fleet "$n"
  measure --series instances --size "$n" --admins "$(join "${admins[@]}")"
  stop
done
fleet 8
for n in 8 32 128; do
  measure --series organisations --size "$n" --organisations "$n" --starts 1 \
    --admins "$(join "${admins[@]}")" --callers "$(join "${callers[@]}")"
done
for n in 16 32 64 128; do
  measure --series tokens --size "$n" --streams "$n" --admins "${admins[0]}" --callers "${callers[0]}"
done
stop
"$bin/lab" slopes fit "$rows"
