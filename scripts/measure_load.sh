#!/usr/bin/env bash
# Measures the processor time that instances spend for each model call and each
# generated token, and their memory while streams are open.
#
#   scripts/measure_load.sh [TOKENS]...

cd "$(dirname "$0")/.." || exit 2

largest_resident_kb() {
  local pid
  for pid in "${INSTANCE_PIDS[@]}"; do
    sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status"
  done | sort -n | tail -1
}

measure() {
  local tokens=$1
  (
    RUN_DIR=run/load BASE_PORT=25000 LINK_DELAY=0ms INSTANCE_COUNT=3
    ENGINE_FLAGS="--decode_us=5000 --prefill_us=20 --slots=64"
    . scripts/deployment.sh
    trap deployment_stop EXIT
    deployment_start gaisa-loki || exit 2
    local before=$(sum_ticks) start=$SECONDS
    "$BUILD/bin/lentilhoist-load" --platform="$PLATFORM" --engines="$ENGINES" \
      --services="$SERVICES" --service="$SERVICE_POOL" --programs=150 \
      --concurrency=150 --classes=customer --max_tokens="$tokens" \
      --trace="$RUN_DIR/trace.jsonl" >"$RUN_DIR/load.txt"
    local ticks=$(($(sum_ticks) - before)) seconds=$((SECONDS - start))
    local calls=$(grep -o '"model_calls":[0-9]*' "$RUN_DIR/trace.jsonl" |
      cut -d: -f2 | awk '{ s += $1 } END { print s }')
    awk -v t="$ticks" -v c="$calls" -v k="$tokens" -v s="$seconds" \
      -v m="$(largest_resident_kb)" 'BEGIN {
      printf "tokens a call %3d: %d model calls in %d s, %.2f ms of processor time a call (idle share included), largest instance %.1f MB\n",
        k, c, s, t * 10 / c, m / 1024 }'
    tail -1 "$RUN_DIR/load.txt"
  ) 2>/dev/null
}

for tokens in "${@:-8 32 128}"; do
  for one in $tokens; do measure "$one"; done
done
