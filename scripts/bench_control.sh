#!/usr/bin/env bash
# Measures what entries and agents cost without any request, at several numbers
# of both. SIZES is a list of ENTRIESxAGENTS.
set -uo pipefail
cd "$(dirname "$0")/.."

SIZES=${SIZES:-2x4 2x10 2x20 8x20 16x20}
BIN=${BIN:-out/bin}
OUT=${OUT:-out}
BASE_PORT=${BASE_PORT:-26000}
SETTLE_S=${SETTLE_S:-15}
RESULTS=()
mkdir -p "$OUT"
source scripts/processes.sh
source scripts/fleet.sh

for size in $SIZES; do
  RUN=$(mktemp -d "${TMPDIR:-/tmp}/firford-control.XXXXXX")
  PROCESS_IDS=()
  "$BIN/bench" fleet --directory "$RUN" --binaries "$BIN" --base-port "$BASE_PORT" --entries "${size%x*}" --engines "${size#*x}" || exit 1
  fleet_start_all || exit 1
  "$BIN/bench" prepare --directory "$RUN" --operators "127.0.0.1:$((BASE_PORT + 100))" || exit 1
  head -c 1048576 /dev/urandom >"$RUN/weights"
  export FIRFORD_ENTRY=127.0.0.1:$((BASE_PORT + 100)) FIRFORD_TOKEN_FILE=$RUN/operator.token
  export FIRFORD_PLATFORM=127.0.0.1:$BASE_PORT FIRFORD_PLATFORM_TOKEN_FILE=$RUN/platform.token
  "$BIN/firford" version publish --name plant-1 --model plant-model --weights "$RUN/weights" --chunk-bytes 16384 >/dev/null &&
    "$BIN/firford" rollout start plant plant-1 --watch >/dev/null || exit 1
  sleep "$SETTLE_S"
  "$BIN/bench" control-measure --directory "$RUN" --result "$OUT/control_$size.json" || exit 1
  RESULTS+=("$OUT/control_$size.json")
  stop_all
  rm -rf "$RUN"
  trap stop_all EXIT
  trap 'exit 130' INT TERM
done
"$BIN/bench" control-summary --out "$OUT" "${RESULTS[@]}"
