#!/usr/bin/env bash
# The decisions under load, on a virtual clock: a table per scenario and policy, a CSV file and a plot in build/bench.
# Arguments name the only scenario to run (empty for all) and the only policy.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=${EELGRASS_BUILD:-build}
out=$build/bench
mkdir -p "$out"
"$build/bin/bench-decisions" "$@" | tee "$out/decisions.csv" | column -s, -t
[ $# -eq 0 ] || exit 0
gnuplot 2>"$out/gnuplot.log" <<PLOT
set terminal svg size 1400,900 font "sans,11"
set output "$out/decisions.svg"
set datafile separator ","
set style data histogram
set style fill solid 0.8
set multiplot layout 2,2
set xtics rotate by -30
set key top left
do for [deployment in "armor remissandelen"] {
  do for [column in "6 8"] {
    set title deployment . (column eq "6" ? ": load stall p99, s" : ": batch efficiency, %")
    plot for [policy in "random least-loaded rendezvous eelgrass"] \
      "< grep -E '^".deployment.",[^,]*,".policy.",' $out/decisions.csv" using int(column):xtic(2) title policy
  }
}
PLOT
echo "written: $out/decisions.csv $out/decisions.svg"
