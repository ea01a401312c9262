#!/usr/bin/env bash
# The whole path against its parts, in one run. Says how busy the machine was, since idle is what the aims are for.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=${EELGRASS_BUILD:-build}
echo "machine: $(nproc) processors, load $(cut -d' ' -f1-3 /proc/loadavg)"
EELGRASS_BIN=$build/bin "$build/bin/bench-path" "$@"
