#!/usr/bin/env bash
# Measures what an idle entry spends on control: processor share, resident memory and bytes a second,
# as the mean over the entries. ENTRIES, ENGINES and SECONDS_IDLE set the run; one line a run.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
entries=${ENTRIES:-3} engines=${ENGINES:-12} idle=${SECONDS_IDLE:-10}
entry_pids=()

start_run
stand log log
stand list list --lag 0s
list="http://$(cat "$run/list.address")"
for i in $(seq "$engines"); do
  stand "engine-$i" engine --list "$list" --id "engine-$i" --zone "zone-$((i % 3))" --model m
done
echo "token: org" >"$run/tokens.yaml"
printf 'route model m class interactive # asked by: bench\nserve model m version v1 # asked by: bench\n' >"$run/rules.txt"
for i in $(seq "$entries"); do
  entry "entry-$i" "zone-$((i % 3))" <<<"log_level: error"
  entry_pids+=("$entry_pid")
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
