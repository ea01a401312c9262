#!/usr/bin/env bash
# Costs per request, token, session, adapter, change and target, each fitted over four sizes or more.
# `./run bench slopes [--quick] [--only=PART]`; figures go to build/bench/slopes*.csv.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=${EELGRASS_BUILD:-build}
mkdir -p "$build/bench"
EELGRASS_BIN=$build/bin exec "$build/bin/bench-slopes" --out="$build/bench" "$@"
