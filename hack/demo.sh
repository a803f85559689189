#!/usr/bin/env bash
# Starts the processes of the demo on loopback addresses, runs lab demo against them and stops them.
set -u
cd "$(dirname "$0")/.."
bin=${BIN:-bin}
logs=$(mktemp -d)
pids=()
platform=http://127.0.0.1:17400
export BRAMLEYWHARF_PLATFORM=$platform
export BRAMLEYWHARF_PLATFORM_TOKEN=demo-platform-token
export BRAMLEYWHARF_FLEET_SECRET=demo-fleet-secret-0123456789
operator_hash=$(printf 'demo-operator-key' | "$bin/wharfctl" hash -)

# launch NAME COMMAND... starts a process in the background and sets $pid to its process id.
launch() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pid=$!
  pids+=("$pid")
  disown "$pid" # The lab kills some processes; the shell would report each between the lab's lines.
}

# finish sends SIGTERM to every process and waits until all have exited.
finish() {
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null; done
  for p in "${pids[@]}"; do
    while kill -0 "$p" 2>/dev/null; do sleep 0.05; done
  done
}

launch platform env BRAMLEYWHARF_TOKEN=demo-platform-token "$bin/stand" platform --listen 127.0.0.1:17400 --list-lag 500ms
engines=()
n=0
for domain in ie-east-a ie-east-b ie-east-c; do
  n=$((n + 1))
  launch "engine-$n" "$bin/stand" engine --name "engine-$n" --listen "127.0.0.1:1741$n" --token-gap 10ms
  engines+=("127.0.0.1:1741$n=$pid")
done
for n in 1 2; do
  launch "service-$n" "$bin/stand" service --name "orders-$n" --listen "127.0.0.1:1742$n"
done
for _ in $(seq 50); do
  if "$bin/wharfctl" apply --as demo examples/cleatcraft/declarations.yaml >"$logs/apply.log" 2>&1; then break; fi
  sleep 0.1
done
"$bin/wharfctl" sheet push cleatcraft examples/cleatcraft/sheet.csv --as demo || { finish; exit 1; }
entries=()
n=0
for domain in ie-east-a ie-east-b ie-east-c; do
  n=$((n + 1))
  launch "entry-$n" "$bin/entry" --name "entry-$n" --failure-domain "$domain" --listen "127.0.0.1:1743$n" \
    --peer-listen "127.0.0.1:1744$n" --admin-listen "127.0.0.1:1745$n" --operator-key-hash "$operator_hash" \
    --seeds 127.0.0.1:17441,127.0.0.1:17442,127.0.0.1:17443 --lame-duck 1s
  entries+=("127.0.0.1:1743$n=127.0.0.1:1745$n=$pid")
done
join() { local IFS=,; echo "$*"; }
"$bin/lab" demo --key boot-shop-key --entries "$(join "${entries[@]}")" --engines "$(join "${engines[@]}")" \
  --services 127.0.0.1:17421,127.0.0.1:17422 --drill="${DRILL:-false}"
status=$?
"$bin/wharfctl" status --operator-key demo-operator-key 127.0.0.1:17451 127.0.0.1:17452
"$bin/wharfctl" sheet history cleatcraft --as demo
finish
if [ "$status" -ne 0 ]; then
  echo "logs are in $logs"
else
  rm -r "$logs"
fi
exit "$status"
