#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cicadavalve ] && [ -x target/review-harness ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec target/review-harness late-isolation review/2
