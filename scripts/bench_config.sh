#!/usr/bin/env bash
# Measures configuration changes at several numbers of processes and saves the
# report. SIZES, CHANGES, SEED and FAULTS=none change the run.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/processes.sh

SIZES=${SIZES:-16 60 150}
CHANGES=${CHANGES:-200}
SEED=${SEED:-7}
FAULTS=${FAULTS:-all}
BASE_PORT=${BASE_PORT:-27000}
DIRECTORY=${DIRECTORY:-out}
BENCH=out/bin/bench
RESULTS=()
QUIET=()
if [ "$FAULTS" = none ]; then QUIET=(--quiet); fi

# write_hosts COUNT writes the platform's list of hosts.
write_hosts() {
  local index separator=""
  echo "["
  for index in $(seq "$1"); do
    printf '%s{"name": "host-%03d", "role": "agent", "address": "127.0.0.1:%d", "chunk_address": "127.0.0.1:1", "data_centre": "nairobi", "region": "kenya", "deployment": "plant"}\n' \
      "$separator" "$index" $((BASE_PORT + index))
    separator=", "
  done
  echo "]"
}

WHOLE=$(mktemp -d)
for size in $SIZES; do
  RUN=$WHOLE/$size
  mkdir -p "$RUN"
  write_hosts "$size" >"$RUN/hosts.json"
  start platform out/bin/fakeplatform --listen "127.0.0.1:$BASE_PORT" --hosts "$RUN/hosts.json"
  wait_ready "127.0.0.1:$BASE_PORT"
  # Another program may hold the port and answer in place of this run's platform.
  kill -0 "$(cat "$RUN/platform.pid")" || { cat "$RUN/platform.log" >&2; exit 1; }
  for index in $(seq "$size"); do
    name=$(printf 'host-%03d' "$index")
    GOMAXPROCS=2 start "$name" "$BENCH" config-node --name "$name" \
      --listen "127.0.0.1:$((BASE_PORT + index))" --platform "127.0.0.1:$BASE_PORT"
  done
  "$BENCH" config-drive --directory "$RUN" --platform "127.0.0.1:$BASE_PORT" \
    --changes "$CHANGES" --seed "$SEED" "${QUIET[@]}" --out "$WHOLE/$size.json"
  stop_all
  set -e
  trap stop_all EXIT
  trap 'exit 130' INT TERM
  PROCESS_IDS=()
  RESULTS+=("$WHOLE/$size.json")
done
"$BENCH" config-summary --directory "$DIRECTORY" \
  --command "make bench_config SIZES='$SIZES' CHANGES=$CHANGES SEED=$SEED FAULTS=$FAULTS" "${RESULTS[@]}"
