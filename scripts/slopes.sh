#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is derived from: how costs grow with the number of upstreams, members, keys,
# rules and organisations, and the cost of a decision. Each is measured at three sizes.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -run '^$' -bench 'Upstreams|Members|Keys|Rules' -benchtime "${BENCHTIME:-200ms}" ./core/node
go test -run '^$' -bench Organisations -benchtime 5x ./io/meter
go test -run '^$' -bench Decision -benchmem -benchtime "${BENCHTIME:-200ms}" ./core/sched ./core/route
