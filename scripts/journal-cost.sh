#!/usr/bin/env bash
# Measures the cost of an entry's journal under load: bytes a second before and after compression, steps dropped by
# the rate limit (JOURNAL_RATE), the message types that take the most space, and resident memory, as means over the entries.
# ENTRIES, ENGINES, RATE (requests a second over all entries), SECONDS_OF_LOAD, JOURNAL_RATE and SEED configure the run.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
entries=${ENTRIES:-3} engines=${ENGINES:-12} rate=${RATE:-100} length=${SECONDS_OF_LOAD:-20} seed=${SEED:-1}
models=(wear-summary span-check defect-writeup)

start_run
stand log log --seed "$seed"
stand list list --lag 0s
list="http://$(address list)"
for i in $(seq 0 $((engines - 1))); do
  stand "engine-$i" engine --list "$list" --id "engine-$i" --zone "zone-$((i % 3))" --model "${models[$((i % 3))]}" --seed "$((seed + i))" \
    --prefill-rate 400000 --batch 64 --cache 1024 --cold-time 1ms # Fast enough that the engines are not the bottleneck.
done
for i in 0 1 2; do
  stand "app-$i" app --list "$list" --id "app-$i" --zone "zone-$i" --service ticket --seed "$((seed + i))"
done
orgs="otago-lines tram-depot harbour-wire hill-crew port-feeder north-span south-span survey council stores"
for org in $orgs; do echo "token-$org: $org"; done >"$run/tokens.yaml"
{
  for m in "${models[@]}"; do
    echo "route model $m class interactive  # asked by: bench"
    echo "serve model $m version v1  # asked by: bench"
  done
  echo "route service ticket runs once  # asked by: bench"
} >"$run/rules.txt"
callers=() peers=() entry_pids=()
for i in $(seq "$entries"); do
  entry "entry-$i" "zone-$((i % 3))" <<YAML
log_level: error
journal_rate: ${JOURNAL_RATE:-16384}
YAML
  callers+=("$caller") peers+=("$peer") entry_pids+=("$entry_pid")
done
bin/cicadavalve apply "$run/rules.txt" --entry "${peers[0]}" --operator bench >/dev/null
sleep 6 # Wait until the entries treat the engines as warm.

counter() { # counter NAME: prints the sum over the entries
  local total=0 value address
  for address in "${callers[@]}"; do
    value=$(bin/cvlab get "$address" /debug/vars | grep -o "\"$1\": *[0-9]*" | grep -o '[0-9]*$' || echo 0)
    total=$((total + value))
  done
  echo "$total"
}
counts() { bin/cicadavalve show journal --entry "${peers[0]}" --output json >"$1"; }
offered_before=$(counter journal_offered_bytes) dropped_before=$(counter journal_dropped_steps)
counts "$run/before.json"
began=$(date +%s%N)
bin/cvlab load --preset otakou --entries "$(join "${callers[@]}")" --tokens "$run/tokens.yaml" --rate "$rate" \
  --length "${length}s" --seed "$seed" >"$run/load.out" 2>&1 || true
ended=$(date +%s%N)
counts "$run/after.json"
offered=$(($(counter journal_offered_bytes) - offered_before)) dropped=$(($(counter journal_dropped_steps) - dropped_before))
memory=0
for pid in "${entry_pids[@]}"; do memory=$((memory + $(awk '/VmRSS/ {print $2}' "/proc/$pid/status"))); done
cat "$run/load.out"
python3 - "$run/before.json" "$run/after.json" "$entries" "$(((ended - began) / 1000000))" "$offered" "$dropped" "$memory" <<'PY'
import json, sys
before, after = (json.load(open(p)) for p in sys.argv[1:3])
entries, ms, offered, dropped, memory = map(int, sys.argv[3:])
seconds = ms / 1000
def types(answers):
    sums = {}
    for a in answers:
        for t in a["document"]["types"]:
            steps, size = sums.get(t["type"], (0, 0))
            sums[t["type"]] = (steps + t["steps"], size + t["bytes"])
    return sums
old, new = types(before), types(after)
grown = sorted(((new[t][1] - old.get(t, (0, 0))[1], new[t][0] - old.get(t, (0, 0))[0], t) for t in new), reverse=True)
plain, steps = sum(g[0] for g in grown), sum(g[1] for g in grown)
print("an entry: %.0f steps/s, %.1f KB/s plain, %.1f KB/s compressed, %d steps dropped by the rate, %.1f MB resident, over %.1f s"
      % (steps / seconds / entries, plain / 1024 / seconds / entries, offered / 1024 / seconds / entries, dropped / entries,
         memory / 1024 / entries, seconds))
for size, count, name in grown[:12]:
    print("  %5.1f %%  %7.1f bytes a step  %6.1f steps/s  %s"
          % (100 * size / plain, size / max(count, 1), count / seconds / entries, name))
PY
