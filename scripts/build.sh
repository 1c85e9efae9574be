#!/usr/bin/env bash
# Builds everything into build/ (or the folder named by BUILD) with the
# sanitizers named by SANITIZE (empty, address,undefined or thread).
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
cmake -S . -B "$build" -G Ninja -DLENTILHOIST_SANITIZE="${SANITIZE:-}" >/dev/null
# shellcheck disable=SC2086
ninja -C "$build" -k 20 ${TARGETS:-all}
