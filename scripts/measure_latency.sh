#!/usr/bin/env bash
# Measures what the way through an instance adds to a model call, and how long a
# shard is without an owner after SIGKILL and after SIGTERM.

cd "$(dirname "$0")/.." || exit 2
RUN_DIR=run/latency BASE_PORT=24000 LINK_DELAY=0ms
ENGINE_FLAGS="--decode_us=100 --prefill_us=1"
. scripts/deployment.sh
trap deployment_stop EXIT
deployment_start gaisa-loki || exit 2

now_ms() { echo $(($(date +%s%N) / 1000000)); }

owned_shard() { # PORT -> a shard that the instance owns
  "$BUILD/bin/lentilhoistctl" --address="127.0.0.1:$1" --json status |
    grep -o '"phase":"owning","programs":[0-9]*,"shard":[0-9]*' |
    head -1 | sed 's/.*"shard"://'
}

create_on() { # CALLER_PORT: its instance takes a shard of its own
  curl -s -X POST "http://127.0.0.1:$1/v1/programs" -d \
    '{"tenant":"t","class":"c","budget":{"tokens":100000,"turns":50,"wall_ms":600000}}' |
    sed 's/.*"program":"\([^"]*\)".*/\1/'
}

call_via() { # CALLER_PORT PROGRAM CALL
  curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1/v1/chat/completions" \
    -H "X-Lentilhoist-Program: $2" -H "X-Lentilhoist-Call: $3" \
    -d '{"max_tokens":1,"messages":[{"role":"user","content":"x"}]}'
}

"$BUILD/bin/lentilhoist-load" --overhead="${CALLS:-200}" --engines="$ENGINES" \
  --instance="127.0.0.1:${CALLER_PORTS[0]}"

gone() { # SIGNAL INDEX
  local program=$(create_on "${CALLER_PORTS[$2]}") start status
  call_via "${CALLER_PORTS[0]}" "$program" 1 >/dev/null
  start=$(now_ms)
  kill -"$1" "${INSTANCE_PIDS[$2]}"
  status=$(call_via "${CALLER_PORTS[0]}" "$program" 2)
  echo "$1 of the owner: next call answered $status after $(($(now_ms) - start)) ms"
}

gone KILL 1
sleep 3
gone KILL 2
sleep 3
gone TERM 3
sleep 3
gone TERM 4
