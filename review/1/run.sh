#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the crash out.
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/1
[ -x target/review/case-1 ] && [ -x target/bin/eelgrassrouterd ] || exit 2
RECORD="$record/record.txt" exec target/review/case-1
