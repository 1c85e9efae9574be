#!/usr/bin/env bash
# Measures what one idle instance costs against the size of the fleet: processor
# time, resident memory, membership bytes sent, calls to the platform.
#
#   scripts/measure_fleet.sh [SIZE]...

cd "$(dirname "$0")/.." || exit 2
SECONDS_MEASURED=10

sum_resident_kb() {
  local pid total=0
  for pid in "${INSTANCE_PIDS[@]}"; do
    total=$((total + $(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status")))
  done
  echo "$total"
}

sum_sent() {
  local i total=0 sent
  for ((i = 0; i < INSTANCES; i++)); do
    sent=$(curl -s "http://127.0.0.1:$((BASE_PORT + 500 + i))/metrics" |
      sed -n 's/^lentilhoist_membership_sent_bytes \([0-9]*\).*/\1/p')
    total=$((total + ${sent:-0}))
  done
  echo "$total"
}

counter() {
  curl -s "http://$PLATFORM/admin/counters" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"
}

measure() {
  local size=$1
  (
    INSTANCE_COUNT=$size ENGINES_WANTED=1 SERVICES_WANTED=1 BASE_PORT=23000
    INSTANCE_EXTRA="attempt_threads = 16" RUN_DIR=run/fleet SHARDS=${SHARDS:-64}
    . scripts/deployment.sh
    trap deployment_stop EXIT
    deployment_start gaisa-loki || exit 2
    sleep 5
    local ticks=$(sum_ticks) sent=$(sum_sent) reads=$(counter reads) writes=$(counter writes)
    sleep "$SECONDS_MEASURED"
    ticks=$(($(sum_ticks) - ticks)) sent=$(($(sum_sent) - sent))
    reads=$(($(counter reads) - reads)) writes=$(($(counter writes) - writes))
    awk -v n="$size" -v s="$SECONDS_MEASURED" -v t="$ticks" -v b="$sent" \
      -v r="$reads" -v w="$writes" -v m="$(sum_resident_kb)" 'BEGIN {
      printf "instances %3d: cpu %.2f%% of a core, resident %.1f MB, membership %.0f B/s, platform reads %.2f/s writes %.2f/s (each instance)\n",
        n, t / n / s, m / n / 1024, b / n / s, r / n / s, w / n / s }'
  ) 2>/dev/null
}

for size in "${@:-3 7 15 30 60}"; do
  for one in $size; do measure "$one"; done
done
