#!/usr/bin/env bash
# Measures resume latency and extra engine work against processes that are restarted when they exit.
set -u
cd "$(dirname "$0")/.."
bin=${BIN:-bin}
dir=$(mktemp -d)
pids=()
export BRAMLEYWHARF_FLEET_SECRET=bench-fleet-secret-01234 BRAMLEYWHARF_PLATFORM=http://127.0.0.1:19400
operator_hash=$(printf 'bench' | "$bin/wharfctl" hash -)

# keep NAME COMMAND... runs a command, restarts it whenever it exits and writes its process id to $dir/NAME.pid.
keep() {
  local name=$1
  shift
  while [ ! -e "$dir/stop" ]; do
    "$@" >>"$dir/$name.log" 2>&1 &
    echo $! >"$dir/$name.pid"
    wait $! 2>/dev/null
    sleep 0.3
  done
}

finish() {
  touch "$dir/stop"
  for f in "$dir"/*.pid; do kill -KILL "$(cat "$f")" 2>/dev/null; done
  wait "${pids[@]}" 2>/dev/null
  rm -rf "$dir"
}

keep platform "$bin/stand" platform --listen 127.0.0.1:19400 --list-lag 0s 2>/dev/null & pids+=("$!")
engines=()
{
  echo "models: {m: {versions: ['1'], default-version: '1'}}"
  echo "organisations:"
  for policy in latency thrift restart; do
    echo "  org-$policy: {key-hash: $(printf 'key-%s' "$policy" | "$bin/wharfctl" hash -)}"
  done
  echo "targets:"
  for n in 1 2 3 4 5; do
    echo "  engine-$n: {address: '127.0.0.1:1941$n', failure-domain: fd-$((n % 3)), models: [m], slots: 32}"
  done
} >"$dir/declarations.yaml"
cat >"$dir/sheet.csv" <<'S'
sheet-date,2026-12-04,,,,
organisation,share,priority,ceiling,models,recovery
org-latency,30,5,100,m,latency
org-thrift,30,5,100,m,thrift
org-restart,30,5,100,m,restart
end,3,,,,
S
for n in 1 2 3 4 5; do
  keep "engine-$n" "$bin/stand" engine --name "engine-$n" --listen "127.0.0.1:1941$n" --token-gap 10ms 2>/dev/null & pids+=("$!")
  engines+=("127.0.0.1:1941$n=$dir/engine-$n.pid")
done
until "$bin/wharfctl" apply --as bench "$dir/declarations.yaml" >/dev/null 2>&1; do sleep 0.1; done
"$bin/wharfctl" sheet push bench "$dir/sheet.csv" --as bench >/dev/null || { finish; exit 1; }
entries=()
for n in 1 2 3; do
  keep "entry-$n" "$bin/entry" --name "entry-$n" --failure-domain "fd-$n" --listen "127.0.0.1:1943$n" --peer-listen "127.0.0.1:1944$n" \
    --admin-listen "127.0.0.1:1945$n" --operator-key-hash "$operator_hash" --lame-duck 0s \
    --seeds 127.0.0.1:19441,127.0.0.1:19442,127.0.0.1:19443 2>/dev/null & pids+=("$!")
  entries+=("127.0.0.1:1943$n=$dir/entry-$n.pid")
done
sleep 8
join() { local IFS=,; echo "$*"; }
"$bin/lab" bench --entries "$(join "${entries[@]}")" --engines "$(join "${engines[@]}")" --rounds "${ROUNDS:-5}" \
  --policies latency=key-latency,thrift=key-thrift,restart=key-restart
status=$?
finish
exit "$status"
