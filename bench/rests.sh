#!/usr/bin/env bash
# Who should hear of a rest that a replica has asked one host for, with few entries and with many; on a virtual clock.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
"${EELGRASS_BUILD:-build}/bin/bench-rests"
