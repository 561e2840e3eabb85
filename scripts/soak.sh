#!/usr/bin/env bash
# Runs the real programs for SECONDS with the faults of SEED, then checks
# every invariant from the records of callers, backend servers and operators.
set -uo pipefail
cd "$(dirname "$0")/.."

SECONDS_LONG=${SOAK_SECONDS:-600}
SEED=${SEED:-7}
BIN=${BIN:-out/bin}
OUT=${OUT:-out}
BASE_PORT=${BASE_PORT:-24000}
CONCURRENCY=${CONCURRENCY:-16}
ENTRIES=2
SIZE=$((4 << 20))
RUN=$(mktemp -d "${TMPDIR:-/tmp}/firford-soak.XXXXXX")
source scripts/processes.sh
source scripts/fleet.sh

address() { echo "127.0.0.1:$((BASE_PORT + $1))"; }
PLATFORM=$(address 0)
NETWORK=$(address 1)
OPERATORS="--operators $(address 100) --operators $(address 101)"
CALLERS="--entries $(address 80) --entries $(address 81)"
PUBLISHED="plant-1 yard-1"
NEXT_VERSION=2

firford() {
  local number
  for number in 0 1 0 1 0 1; do
    FIRFORD_ENTRY=$(address $((100 + number))) FIRFORD_TOKEN_FILE=$RUN/operator.token \
      FIRFORD_PLATFORM=$PLATFORM FIRFORD_PLATFORM_TOKEN_FILE=$RUN/platform.token \
      "$BIN/firford" "$@" && return 0
    sleep 1
  done
  return 1
}

# roll_out DEPLOYMENT VERSION publishes new weights and starts their rollout.
roll_out() {
  head -c "$SIZE" /dev/urandom >"$RUN/$2.weights"
  firford version publish --name "$2" --model "$1-model" --weights "$RUN/$2.weights" --chunk-bytes 16384 --request-id "publish-$2" &&
    firford rollout start "$1" "$2" --request-id "start-$2"
}

post() { fetch "$1/faults" --data "$2" >/dev/null; }
network() { post "$NETWORK" "{\"route\":\"$1\",\"fault\":\"$2\"}"; }
engine_address() { fleet_line "$1" | cut -f2; }

# set_leaving NAME [--back] changes the platform's list of hosts.
set_leaving() {
  "$BIN/bench" leaving --directory "$RUN" --platform "$PLATFORM" --host "$@"
}

# note PHASE KIND TARGET records a fault with its time for the verdict.
note() { echo "$(date +%s.%3N) $1 $2 $3" >>"$RUN/faults.log"; }

# inject PHASE KIND TARGET carries out the start or the end of one fault.
inject() {
  # A host is leaving from the moment at which the platform has taken the change.
  [ "$1 $2" = "start leave_agent" ] || note "$1" "$2" "$3"
  case "$1 $2" in
    "start kill_"*) fleet_end KILL "$3" ;;
    "start freeze_"*) fleet_signal STOP "$3" ;;
    "end freeze_"*) fleet_signal CONT "$3" ;;
    "start terminate_"*) fleet_end TERM "$3" ;;
    "end kill_"* | "end terminate_"*) fleet_restart "$3" ;;
    "start leave_agent") set_leaving "$3" && note "$1" "$2" "$3" ;;
    "end leave_agent")
      set_leaving "$3" --back
      sleep 2.5 # The list lags by 2 s; an agent that starts earlier would drain again.
      fleet_end TERM "$3"
      fleet_restart "$3"
      ;;
    "start silent_link") network "$3" silent ;;
    "start stall_"*) network "$3" stall ;;
    "start cut_link") network "$3" cut ;;
    "end stall_"* | "end cut_link") network "$3" none ;;
    "start store_outage") post "$PLATFORM" '{"outage":true}' ;;
    "end store_outage") post "$PLATFORM" '{"outage":false}' ;;
    "start store_slow") post "$PLATFORM" '{"delay_ms":800}' ;;
    "end store_slow") post "$PLATFORM" '{"delay_ms":0}' ;;
    "start store_lost_answers") post "$PLATFORM" '{"lose_answers":0.3}' ;;
    "end store_lost_answers") post "$PLATFORM" '{"lose_answers":0}' ;;
    "start origin_outage") post "$PLATFORM" '{"origin_outage":true}' ;;
    "end origin_outage") post "$PLATFORM" '{"origin_outage":false}' ;;
    "start corrupt_chunks") network "$3" corrupt ;;
    "end corrupt_chunks") network "$3" none ;;
    "start engine_silent") post "$(engine_address "$3")" '{"silent":true}' ;;
    "start engine_fail_load") post "$(engine_address "$3")" '{"fail_load":true}' ;;
    "end engine_fail_load") post "$(engine_address "$3")" '{"fail_load":false}' ;;
    "start new_version")
      local version=plant-$NEXT_VERSION
      echo "$version" >>"$RUN/published"
      roll_out plant "$version" >>"$RUN/operators.log" 2>&1
      ;;
    "start racing_operators") firford rollout pause plant --request-id "pause-$RANDOM$RANDOM" >>"$RUN/operators.log" 2>&1 &
      firford rollout resume plant --request-id "resume-$RANDOM$RANDOM" >>"$RUN/operators.log" 2>&1
      wait $! 2>/dev/null
      firford rollout resume plant --request-id "again-$RANDOM$RANDOM" >>"$RUN/operators.log" 2>&1
      ;;
  esac
}

"$BIN/bench" fleet --directory "$RUN" --binaries "$BIN" --base-port "$BASE_PORT" --entries $ENTRIES --record-files --stop-on-violation || exit 1
fleet_start_all || exit 1
# shellcheck disable=SC2086 # The options are separate words.
"$BIN/bench" prepare --directory "$RUN" $OPERATORS || exit 1
roll_out yard yard-1 && roll_out plant plant-1 || exit 1
firford rollout watch yard >/dev/null && firford rollout watch plant >/dev/null || exit 1
: >"$RUN/published"
: >"$RUN/faults.log"

"$BIN/bench" soak-plan --seed "$SEED" --length "${SECONDS_LONG}s" --entries $ENTRIES >"$RUN/schedule"
cat "$RUN/schedule"
# shellcheck disable=SC2086
start callers "$BIN/bench" callers $CALLERS --tokens "$RUN/callers.tokens" --engines plant --engines yard --services office \
  --record "$RUN/callers.jsonl" --length "${SECONDS_LONG}s" --seed "$SEED" --concurrency "$CONCURRENCY"
CALLERS_ID=$!
# shellcheck disable=SC2086
start operations "$BIN/bench" operations --directory "$RUN" $OPERATORS --length "${SECONDS_LONG}s" --seed "$SEED"
OPERATIONS_ID=$!

BEGAN=$(date +%s.%3N)
while read -r due phase kind target; do
  pause=$(awk -v due="$due" -v began="$BEGAN" -v now="$(date +%s.%3N)" 'BEGIN { p = due - (now - began); print (p > 0) ? p : 0 }')
  sleep "$pause"
  if [ "$phase $kind" = "start new_version" ]; then
    inject "$phase" "$kind" "$target" &
    NEXT_VERSION=$((NEXT_VERSION + 1))
  else
    # An injection that takes a while must not shift the whole schedule.
    case "$phase $kind" in
      "start racing_operators" | "end leave_agent" | "end terminate_"*) inject "$phase" "$kind" "$target" & ;;
      *) inject "$phase" "$kind" "$target" ;;
    esac
  fi
done <"$RUN/schedule"
wait "$CALLERS_ID" "$OPERATIONS_ID"

for name in $(cat "$RUN/published"); do PUBLISHED="$PUBLISHED $name"; done
"$BIN/bench" soak-judge --directory "$RUN" --out "$OUT" --seed "$SEED" --length "${SECONDS_LONG}s" \
  $CALLERS $(for name in $PUBLISHED v1; do echo "--published $name"; done)
STATUS=$?
grep -h "invariant violated" "$RUN"/*.log | head -5
stop_all
echo "records: $RUN" >&2
exit $STATUS
