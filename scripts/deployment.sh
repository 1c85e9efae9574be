#!/usr/bin/env bash
# Starts and stops one of the deployments of the users on loopback. Sourced by
# the other scripts; a process of the product starts no other, so this is the
# only place that does.
#
#   deployment_start NAME   gaisa-loki or ombrelloni
#   deployment_stop
#
# Sets PLATFORM, ENGINES, SERVICES, INSTANCE_PIDS and CALLER_PORTS.

set -u

BUILD=${BUILD:-build}
RUN_DIR=${RUN_DIR:-run}
BASE_PORT=${BASE_PORT:-21000}
LINK_DELAY=${LINK_DELAY:-0ms}
ENGINE_FLAGS=${ENGINE_FLAGS:---decode_us=2000 --prefill_us=20}
SHARDS=${SHARDS:-16}
DAEMON_EXTRA=${DAEMON_EXTRA:-}
INSTANCE_EXTRA=${INSTANCE_EXTRA:-}

ALL_PIDS=()
INSTANCE_PIDS=()
CALLER_PORTS=()

deployment_shape() {
  case $1 in
  gaisa-loki)
    INSTANCES=7 ENGINE_COUNT=9 SERVICE_COUNT=5
    MODEL_POOL=lm-pool SERVICE_POOL=shop-app
    DOMAINS=(riga-a riga-b riga-c) REGION=riga
    ;;
  ombrelloni)
    INSTANCES=6 ENGINE_COUNT=9 SERVICE_COUNT=8
    MODEL_POOL=assistente SERVICE_POOL=registro
    DOMAINS=(palermo catania siracusa) REGION=sicilia
    ;;
  *)
    echo "unknown deployment $1" >&2
    return 2
    ;;
  esac
  INSTANCES=${INSTANCE_COUNT:-$INSTANCES}
  ENGINE_COUNT=${ENGINES_WANTED:-$ENGINE_COUNT}
  SERVICE_COUNT=${SERVICES_WANTED:-$SERVICE_COUNT}
}

start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" 2>"$RUN_DIR/$name.log" >"$RUN_DIR/$name.out" &
  STARTED=$!
  ALL_PIDS+=("$STARTED")
}

write_runners() {
  local i
  for ((i = 0; i < ENGINE_COUNT; i++)); do
    cat <<EOF

[[runner]]
name = "$MODEL_POOL-$i"
kind = "engine"
pool = "$MODEL_POOL"
domain = "${DOMAINS[$((i % 3))]}"
endpoint = "127.0.0.1:$((BASE_PORT + 100 + i))"
EOF
  done
  for ((i = 0; i < SERVICE_COUNT; i++)); do
    cat <<EOF

[[runner]]
name = "$SERVICE_POOL-$i"
kind = "service"
pool = "$SERVICE_POOL"
domain = "${DOMAINS[$((i % 3))]}"
endpoint = "127.0.0.1:$((BASE_PORT + 200 + i))"
EOF
  done
}

write_config() { # INDEX
  local i=$1
  cat <<EOF
[instance]
name = "entry-$i"
domain = "${DOMAINS[$((i % 3))]}"
region = "$REGION"
link_port = $((BASE_PORT + 300 + i))
caller_port = $((BASE_PORT + 400 + i))
operator_port = $((BASE_PORT + 500 + i))
simulated_link_delay = "$LINK_DELAY"
$INSTANCE_EXTRA

[platform]
endpoint = "$PLATFORM"

[shards]
count = $SHARDS
$DAEMON_EXTRA
EOF
  write_runners
}

register_instance() { # INDEX STATE
  curl -s -o /dev/null -X PUT "http://$PLATFORM/admin/instances/entry-$1" -d \
    "{\"address\":\"127.0.0.1\",\"link_port\":$((BASE_PORT + 300 + $1)),\"caller_port\":$((BASE_PORT + 400 + $1)),\"domain\":\"${DOMAINS[$(($1 % 3))]}\",\"region\":\"$REGION\",\"state\":\"$2\"}"
}

start_instance() { # INDEX
  start_process "entry-$1" "$BUILD/bin/lentilhoistd" \
    "--config=$RUN_DIR/entry-$1.toml"
  INSTANCE_PIDS[$1]=$STARTED
}

wait_ready() {
  local i try
  for ((i = 0; i < INSTANCES; i++)); do
    for ((try = 0; try < 100; try++)); do
      curl -s -o /dev/null "http://127.0.0.1:$((BASE_PORT + 400 + i))/healthz" && break
      sleep 0.1
    done
  done
  sleep 1.5
}

deployment_start() {
  deployment_shape "$1" || return 2
  mkdir -p "$RUN_DIR"
  PLATFORM=127.0.0.1:$BASE_PORT
  ENGINES= SERVICES=
  start_process platform "$BUILD/bin/standin-platform" "--port=$BASE_PORT" \
    --instance_lag_ms=500
  local i
  for ((i = 0; i < ENGINE_COUNT; i++)); do
    # shellcheck disable=SC2086
    start_process "engine-$i" "$BUILD/bin/standin-engine" \
      "--port=$((BASE_PORT + 100 + i))" "--model=$MODEL_POOL" $ENGINE_FLAGS
    ENGINES+="${ENGINES:+,}127.0.0.1:$((BASE_PORT + 100 + i))"
  done
  for ((i = 0; i < SERVICE_COUNT; i++)); do
    start_process "service-$i" "$BUILD/bin/standin-service" \
      "--port=$((BASE_PORT + 200 + i))" "--name=$SERVICE_POOL-$i"
    SERVICES+="${SERVICES:+,}127.0.0.1:$((BASE_PORT + 200 + i))"
  done
  for ((i = 0; i < 50; i++)); do
    curl -s -o /dev/null "http://$PLATFORM/instances" && break
    sleep 0.1
  done
  for ((i = 0; i < INSTANCES; i++)); do register_instance "$i" live; done
  sleep 0.7
  for ((i = 0; i < INSTANCES; i++)); do
    write_config "$i" >"$RUN_DIR/entry-$i.toml"
    CALLER_PORTS[$i]=$((BASE_PORT + 400 + i))
    start_instance "$i"
  done
  wait_ready
}

sum_ticks() { # user and system ticks of all instances
  local pid total=0 fields
  for pid in "${INSTANCE_PIDS[@]}"; do
    read -r -a fields <"/proc/$pid/stat"
    total=$((total + fields[13] + fields[14]))
  done
  echo "$total"
}

deployment_stop() {
  local pid
  for pid in "${ALL_PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  ALL_PIDS=()
}
