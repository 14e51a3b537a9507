#!/usr/bin/env bash
# Measures what an idle entry spends on control: processor share, resident memory and bytes a second,
# as the mean over the entries. ENTRIES, ENGINES and SECONDS_IDLE set the run; one line a run.
set -euo pipefail
cd "$(dirname "$0")/.."
entries=${ENTRIES:-3} engines=${ENGINES:-12} idle=${SECONDS_IDLE:-10}

run=$(mktemp -d)
pids=() entry_pids=()
stop_all() {
  local status=$?
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$run"
  exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

mkdir -p bin
go build -o bin/ ./cmd/cicadavalve ./cmd/cvlab
wait_for() {
  for _ in $(seq 200); do [ -s "$1" ] && return 0; sleep 0.05; done
  echo "no address in $1 after 10 s" >&2
  return 1
}
stand() {
  local name=$1 kind=$2
  shift 2
  bin/cvlab stand "$kind" --address-file "$run/$name.address" "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  wait_for "$run/$name.address"
}
stand log log
stand list list --lag 0s
list="http://$(cat "$run/list.address")"
for i in $(seq "$engines"); do
  stand "engine-$i" engine --list "$list" --id "engine-$i" --zone "zone-$((i % 3))" --model m
done
echo "token: org" >"$run/tokens.yaml"
printf 'route model m class interactive # asked by: bench\nserve model m version v1 # asked by: bench\n' >"$run/rules.txt"
for i in $(seq "$entries"); do
  cat >"$run/entry-$i.yaml" <<YAML
entry: entry-$i
zone: zone-$((i % 3))
caller_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
log_url: http://$(cat "$run/log.address")/
list_url: $list/
tokens_file: $run/tokens.yaml
plaintext: true
log_level: error
${EXTRA_SETTINGS:-}
YAML
  bin/cicadavalve entry --config "$run/entry-$i.yaml" --address-file "$run/entry-$i.address" 2>"$run/entry-$i.log" &
  pids+=($!) entry_pids+=($!)
  wait_for "$run/entry-$i.address"
done
read -r caller peer <"$run/entry-1.address"
bin/cicadavalve apply "$run/rules.txt" --entry "$peer" --operator bench >/dev/null
sleep 3

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
counter() { # counter ADDRESS NAME
  bin/cvlab get "$1" /debug/vars | grep -o "\"$2\": *[0-9]*" | grep -o '[0-9]*$' || echo 0
}
sum() { # sum WHAT: over the entries
  local total=0 i=0 value
  for pid in "${entry_pids[@]}"; do
    i=$((i + 1))
    read -r caller peer <"$run/entry-$i.address"
    case "$1" in
    ticks) value=$(ticks "$pid") ;;
    memory) value=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status") ;;
    *) value=$(counter "$caller" "$1") ;;
    esac
    total=$((total + value))
  done
  echo "$total"
}
ticks_before=$(sum ticks) sent_before=$(sum control_sent_bytes) received_before=$(sum control_received_bytes)
sleep "$idle"
ticks_after=$(sum ticks) sent_after=$(sum control_sent_bytes) received_after=$(sum control_received_bytes)
awk -v e="$entries" -v u="$engines" -v s="$idle" -v t="$((ticks_after - ticks_before))" -v hz="$(getconf CLK_TCK)" \
  -v m="$(sum memory)" -v out="$((sent_after - sent_before))" -v in_="$((received_after - received_before))" 'BEGIN {
  printf "entries %d  upstreams %d  core %.2f %%  resident %.1f MB  sent %.2f KB/s  received %.2f KB/s\n",
    e, u, 100 * t / hz / s / e, m / 1024 / e, out / 1024 / s / e, in_ / 1024 / s / e }'
