#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/*.cpp review/7/*.cpp review/8/*.cpp review/9/*.cpp \
  review/10/*.cpp; do
  g++ -std=c++20 -O1 -Wall -pthread "$source" \
    -o "target/review-2/$(basename "$source" .cpp)"
done
