#!/usr/bin/env bash
# Checks each model under model/ with Spin: NAME.pml must hold, and each NAME.broken-*.pml must be refuted.
set -euo pipefail
cd "$(dirname "$0")/.."

if ! command -v spin >/dev/null; then
  echo "installing spin"
  (apt-get update -qq && apt-get install -y -qq spin) >/dev/null 2>&1 || {
    echo "spin is missing and apt could not install it: install the Debian package 'spin'" >&2
    exit 1
  }
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
shopt -s nullglob
passed=0 failed=0

# check FILE: prints 'holds' or 'refuted' with the number of states, or 'incomplete' or 'not checked'.
check() {
  local out="$work/$(basename "$1").out"
  : >"$out"
  (cd "$work" && rm -f pan pan.* ./*.trail && spin -a "$OLDPWD/$1" >&2 &&
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -o pan pan.c && ./pan -m1000000 -w24 >"$out" 2>&1)
  grep -q 'max search depth too small' "$out" && { echo "incomplete"; return; }
  states=$(awk '/states, stored/ {print $1; exit}' "$out")
  if grep -q 'errors: 0' "$out"; then
    echo "holds ($states states)"
  elif grep -q 'assertion violated\|invalid end state\|claim violated' "$out"; then
    echo "refuted ($states states)"
  else
    echo "not checked"
  fi
}

for model in model/*.pml; do
  verdict=$(check "$model")
  case "$model" in
  *.broken-*) expected=refuted ;;
  *) expected=holds ;;
  esac
  if [[ $verdict == "$expected"* ]]; then passed=$((passed + 1)); else failed=$((failed + 1)); verdict="$verdict, expected $expected"; fi
  echo "model $model: $verdict"
done
echo "models: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
