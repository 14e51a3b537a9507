#!/usr/bin/env bash
# Measures the overhead of the control plane on idle entries: CPU share, resident memory and network traffic,
# as means over the entries, the traffic also by purpose. Prints two lines. ENTRIES, ENGINES and SECONDS_IDLE
# configure the run.
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

# sample FILE: writes each entry's CPU ticks, resident memory in KB and byte counters, with the time of the sample.
sample() {
  local i=0 pid
  : >"$1"
  for pid in "${entry_pids[@]}"; do
    i=$((i + 1))
    read -r caller peer <"$run/entry-$i.address"
    {
      echo "time $(date +%s.%N)"
      awk '{print "ticks", $14 + $15}' "/proc/$pid/stat"
      awk '/VmRSS/ {print "memory", $2}' "/proc/$pid/status"
      bin/cvlab get "$caller" /debug/vars | grep -o '"[a-z_]*_bytes": *[0-9]*' | tr -s '":' ' '
    } | sed "s/^/$i /" >>"$1"
  done
}
sample "$run/before"
sleep "$idle"
sample "$run/after"
awk -v e="$entries" -v u="$engines" -v hz="$(getconf CLK_TCK)" '
  NR == FNR { before[$1, $2] = $3; next }
  $2 == "time" { elapsed = $3 - before[$1, $2] }
  $2 == "ticks" { core += ($3 - before[$1, $2]) / hz / elapsed }
  $2 == "memory" { memory += $3 }
  $2 ~ /_bytes$/ { rate[$2] += ($3 - before[$1, $2]) / elapsed }
  function kilobytes(name) { return rate[name] / 1024 / e }
  END {
    printf "entries %d  upstreams %d  core %.2f %%  resident %.1f MB  sent %.2f KB/s  received %.2f KB/s\n",
      e, u, 100 * core / e, memory / 1024 / e, kilobytes("control_sent_bytes"), kilobytes("control_received_bytes")
    n = split("log list load peer", purposes, " ")
    for (i = 1; i <= n; i++)
      printf "  %s %.2f + %.2f", purposes[i], kilobytes("control_" purposes[i] "_sent_bytes"),
        kilobytes("control_" purposes[i] "_received_bytes")
    printf "  journal %.2f  (KB/s sent + received)\n", kilobytes("journal_log_bytes")
  }' "$run/before" "$run/after"
