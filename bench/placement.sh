#!/usr/bin/env bash
# Processor time and allocations of one placement, for fleets up to 2,200 targets and 20,000 adapters.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=${EELGRASS_BUILD:-build}
mkdir -p "$build/bench"
"$build/bin/bench-placement" | tee "$build/bench/placement.csv" | column -s, -t
