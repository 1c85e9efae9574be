#!/usr/bin/env bash
# Runs both deployments at today's size with 200 programs under way, kills one
# instance and ends another gracefully in the middle, and checks that every
# promise held. Exit code: 0 if all held, 1 on any breach.
#
#   scripts/demo.sh [gaisa-loki|ombrelloni]...

cd "$(dirname "$0")/.." || exit 2
export PROGRAMS=${PROGRAMS:-300}

run_one() {
  local name=$1 delay=$2 tenant=$3 classes=$4 base=$5
  (
    RUN_DIR=run/$name LINK_DELAY=$delay BASE_PORT=$base
    . scripts/deployment.sh
    trap deployment_stop EXIT
    deployment_start "$name" || exit 2
    echo "== $name: $INSTANCES instances, $ENGINE_COUNT engines, $SERVICE_COUNT services, links $delay one way"
    "$BUILD/bin/lentilhoist-load" --platform="$PLATFORM" --engines="$ENGINES" \
      --services="$SERVICES" --service="$SERVICE_POOL" --tenant="$tenant" \
      --classes="$classes" --programs="$PROGRAMS" --concurrency=200 \
      --killed_port="${CALLER_PORTS[1]}" &
    local load=$!
    sleep 2
    echo "kill -9 of entry-1"
    kill -KILL "${INSTANCE_PIDS[1]}"
    curl -s -X DELETE "http://$PLATFORM/admin/instances/entry-1"
    sleep 1.5
    echo "SIGTERM of entry-2"
    register_instance 2 leaving
    kill -TERM "${INSTANCE_PIDS[2]}"
    wait "$load"
    local result=$?
    curl -s "http://$PLATFORM/admin/counters"
    echo
    exit $result
  )
}

status=0
for name in "${@:-gaisa-loki ombrelloni}"; do
  for one in $name; do
    case $one in
    gaisa-loki) run_one gaisa-loki 5ms gaisa-loki customer,planner 21000 || status=1 ;;
    ombrelloni) run_one ombrelloni 4ms ombrelloni-tallies check,shift 22000 || status=1 ;;
    esac
  done
done
exit $status
