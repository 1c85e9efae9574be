#!/usr/bin/env bash
# Builds the programs of the review's scripts into review/bin/. The daemons that
# they start are built by the deploy file's command.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" \
    -o "bin/case-${source%%/*}"
done
