#!/usr/bin/env bash
# Sets up, builds and runs the demo of both deployments; non-zero on a breach.
set -eu
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
scripts/demo.sh
