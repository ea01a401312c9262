#!/bin/sh
# Builds the programs of the cases: stand-ins of the store, replicas and clients, each with its script's steps.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review "$source" -o "target/review/case-$number"
done
