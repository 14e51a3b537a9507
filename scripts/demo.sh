#!/usr/bin/env bash
# Runs the whole system as separate processes on free loopback ports, offers load and prints the
# results from the callers' view. PRESET=otakou|kompostfenster, SECONDS_OF_LOAD, RATE, ENTRIES, RETURNS,
# CALLS, SEED, STRAIGHT=1 (half of the completions go directly to engines) and PLOT (a PNG file) configure
# the run; JSON=1 prints only JSON to standard output.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

preset=${PRESET:-otakou}
length=${SECONDS_OF_LOAD:-10}
entries=${ENTRIES:-3}
seed=${SEED:-1}
json=${JSON:-}

rate=${RATE:-40}
use_preset "$preset"

say() { if [ -z "$json" ]; then echo "$@"; fi; }

say "building"
start_run

say "starting the stand-ins"
stand log log --appends 300 --seed "$seed"
stand list list --lag 200ms
stand weights weights --takes "$load_time"
list="http://$(address list)"
stores=() apps=()
for i in 0 1; do
  stand "store-$i" store --list "$list" --id "store-$i" --zone "${zones[$i]}"
  stores+=("$(address "store-$i")")
done
n=0
for m in "${!models[@]}"; do
  for _ in $(seq "$per_model"); do
    stand "engine-$n" engine --list "$list" --id "engine-$n" --zone "${zones[$((n % 3))]}" \
      --model "${models[$m]}" --seed "$((seed + n))" --weights "http://$(address weights)" --cold-time 1s --cold-bears 4
    n=$((n + 1))
  done
done
for i in 0 1 2; do
  stand "app-$i" app --list "$list" --id "app-$i" --zone "${zones[$i]}" --service "$service" --seed "$((seed + i))"
  apps+=("$(address "app-$i")")
done

for org in $orgs; do echo "token-$org: $org"; done >"$run/tokens.yaml"
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$run/cache.secret"
{
  for m in "${!models[@]}"; do
    echo "route model ${models[$m]} class ${classes[$m]}  # asked by: demo"
    echo "serve model ${models[$m]} version v1  # asked by: demo"
  done
  echo "route service $service runs once  # asked by: demo"
  echo "bears upstream engine-* cold 4  # asked by: demo"
} >"$run/rules.txt"

say "starting $entries entries"
callers=() peers=()
for i in $(seq 0 $((entries - 1))); do
  entry "entry-$i" "${zones[$((i % 3))]}" <<YAML
seed: $((seed + i))
cold_time: 1500ms
YAML
  callers+=("$caller") peers+=("$peer")
done

say "checking and applying the rules"
bin/cicadavalve check "$run/rules.txt" >"$run/check.out"
bin/cicadavalve apply "$run/rules.txt" --entry "${peers[0]}" --operator demo >"$run/apply.out"
say "$(cat "$run/check.out" "$run/apply.out")"
sleep 3 # The engines are cold for 1 s; entries treat them as cold for cold_time.

say "offering load for $length s"
flags=(--preset "$preset" --comebacks 3 --entries "$(join "${callers[@]}")" --tokens "$run/tokens.yaml"
  --apps "$(join "${apps[@]}")" --stores "$(join "${stores[@]}")" --rate "$rate" --length "${length}s" --seed "$seed")
if [ -n "$json" ]; then flags+=(--json); fi
if [ -n "${RETURNS:-}" ]; then flags+=(--returns "$RETURNS"); fi
if [ -n "${CALLS:-}" ]; then flags+=(--calls "$CALLS"); fi
if [ -n "${PLOT:-}" ]; then flags+=(--plot "$PLOT"); fi
if [ -n "${STRAIGHT:-}" ]; then
  engines=()
  for i in $(seq 0 $((n - 1))); do engines+=("$(address "engine-$i")"); done
  flags+=(--straight "$(join "${engines[@]}")")
fi
bin/cvlab load "${flags[@]}"

if [ -z "$json" ]; then
  echo "running each entry's recorded decisions again"
  for peer in "${peers[@]}"; do bin/cicadavalve replay --entry "$peer"; done
fi
