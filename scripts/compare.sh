#!/usr/bin/env bash
# Offers the same load to entries with different routing policies. Every entry and stand-in is a
# process, and the processes of one policy end before those of the next start. PRESET, SCENARIO, SEED,
# RATE, SECONDS_OF_LOAD, ENTRIES, POLICIES (separated by commas) and PLOT (a PNG file) configure the run;
# JSON=1 prints only JSON.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

preset=${PRESET:-otakou} scenario=${SCENARIO:-return} seed=${SEED:-1} rate=${RATE:-40}
length=${SECONDS_OF_LOAD:-12} entries=${ENTRIES:-3}
IFS=, read -r -a policies <<<"${POLICIES:-affinity,random,round_robin,least_outstanding,prefix_hash,affinity_unlimited_memory}"
use_preset "$preset"
start_run
for org in $orgs; do echo "token-$org: $org"; done >"$run/tokens.yaml"

# start_fleet POLICY: starts the processes of a policy and writes their addresses to $run/POLICY.yaml.
start_fleet() {
  local policy=$1 blocks=64 m i n=0 list
  if [ "$policy" = affinity_unlimited_memory ]; then policy=affinity blocks=1048576; fi
  stand log log --appends 300 --seed "$seed"
  stand list list --lag 200ms
  stand weights weights --takes "$load_time"
  list="http://$(address list)"
  printf 'policy: %s\nlog_url: http://%s\nengines:\n' "$1" "$(address log)" >"$run/$1.yaml"
  for m in "${models[@]}"; do
    for i in $(seq "$per_model"); do
      stand "engine-$n" engine --list "$list" --id "engine-$n" --zone "${zones[$((n % 3))]}" --model "$m" \
        --seed "$((seed + n))" --weights "http://$(address weights)" --cache "$blocks" --cold-time 1s --cold-bears 4
      printf -- '- {address: "%s", zone: %s, pid: %s}\n' "$(address "engine-$n")" "${zones[$((n % 3))]}" "${pids[-1]}" >>"$run/$1.yaml"
      n=$((n + 1))
    done
  done
  for i in 0 1 2; do
    stand "app-$i" app --list "$list" --id "app-$i" --zone "${zones[$i]}" --service "$service" --seed "$((seed + i))"
  done
  printf 'stores:\n' >>"$run/$1.yaml"
  for i in 0 1; do
    stand "store-$i" store --list "$list" --id "store-$i" --zone "${zones[$i]}"
    printf -- '- "%s"\n' "$(address "store-$i")" >>"$run/$1.yaml"
  done
  printf 'entries:\n' >>"$run/$1.yaml"
  for i in $(seq 0 $((entries - 1))); do
    entry "entry-$i" "${zones[$((i % 3))]}" < <(printf 'seed: %s\npolicy: %s\ncold_time: 1500ms\nmove_dwell: 1s\n' "$((seed + i))" "$policy")
    printf -- '- {caller: "%s", peer: "%s"}\n' "$caller" "$peer" >>"$run/$1.yaml"
  done
}

results=()
for policy in "${policies[@]}"; do
  start_fleet "$policy"
  bin/cvlab compare --preset "$preset" --scenario "$scenario" --seed "$seed" --rate "$rate" --length "${length}s" \
    --fleet "$run/$policy.yaml" --json >"$run/$policy.json"
  results+=("$run/$policy.json")
  kill_all
done
flags=()
if [ -n "${JSON:-}" ]; then flags+=(--json); fi
if [ -n "${PLOT:-}" ]; then flags+=(--plot "$PLOT"); fi
bin/cvlab compare --results "$(join "${results[@]}")" "${flags[@]}"
