#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/11/split.cpp review/13/leaving.cpp; do
  ${CXX:-g++} -std=c++20 -O1 -Wall -Ireview/stand-3 \
    -o "target/review-3/$(basename "$source" .cpp)" "$source" -pthread
done
