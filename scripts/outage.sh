#!/usr/bin/env bash
# Runs 100 programs while the platform goes through an outage, then loses every
# fifth answer after the change took effect, then goes silent on all open
# connections. Exit code: 0 if every promise held, 1 on a breach.

cd "$(dirname "$0")/.." || exit 2
RUN_DIR=run/outage BASE_PORT=26000 LINK_DELAY=0ms
. scripts/deployment.sh
trap deployment_stop EXIT
deployment_start gaisa-loki || exit 2

platform_faults() {
  echo "platform: $1"
  curl -s -o /dev/null "http://$PLATFORM/admin/faults" -d "$1"
}

"$BUILD/bin/lentilhoist-load" --platform="$PLATFORM" --engines="$ENGINES" \
  --services="$SERVICES" --service="$SERVICE_POOL" --programs=150 \
  --concurrency=100 --classes=customer,planner &
load=$!
sleep 2
platform_faults '{"outage":true}'
sleep "${OUTAGE_SECONDS:-8}"
platform_faults '{"outage":false,"drop_answer":0.2,"hold_ms":7000}'
sleep 5
platform_faults '{"drop_answer":0,"silent":true}'
sleep 5
platform_faults '{"silent":false}'
wait "$load"
