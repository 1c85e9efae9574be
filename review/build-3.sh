#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
${CXX:-g++} -std=c++20 -O1 -Wall -o target/review-3/leaving review/15/leaving.cpp \
  -pthread
