#!/usr/bin/env bash
# Shows the system at today's size: starts two entries and 12 + 3 + 1 backend
# servers with their agents on stand-ins, pushes a version while callers keep
# asking, and prints what happened. A process that dies is started again, as
# the platform replaces a host. KILL names a process that is killed three
# seconds after the push began. Everything is stopped at the end.
set -uo pipefail
cd "$(dirname "$0")/.."

BIN=${BIN:-out/bin}
RUN=$(mktemp -d "${TMPDIR:-/tmp}/firford-demo.XXXXXX")
BASE_PORT=${BASE_PORT:-23000}
BEFORE_S=${BEFORE_S:-8}
SIZE=$((8 << 20))
source scripts/processes.sh
source scripts/fleet.sh

address() { echo "127.0.0.1:$((BASE_PORT + $1))"; }
# firford runs the operators' command line against the entry that answers.
firford() {
  local number
  for number in 0 1 0 1 0 1; do
    FIRFORD_ENTRY=$(address $((100 + number))) FIRFORD_TOKEN_FILE=$RUN/operator.token \
      FIRFORD_PLATFORM=$(address 0) FIRFORD_PLATFORM_TOKEN_FILE=$RUN/platform.token \
      "$BIN/firford" "$@" && return 0
    sleep 1
  done
  return 1
}
origin_bytes() { fetch "$(address 0)/counters" | sed 's/.*"origin_bytes":\([0-9]*\).*/\1/'; }
# roll_out DEPLOYMENT VERSION publishes new weights and waits until they serve.
roll_out() {
  head -c "$SIZE" /dev/urandom >"$RUN/$2.weights"
  firford version publish --name "$2" --model "$1-model" --weights "$RUN/$2.weights" --chunk-bytes 16384 --request-id "publish-$2" >/dev/null &&
    STARTED=$(date +%s.%3N) &&
    firford rollout start "$1" "$2" --request-id "start-$2" >/dev/null
}

echo "starting two entries, 16 backend servers with their agents, platform and network"
"$BIN/bench" fleet --directory "$RUN" --binaries "$BIN" --base-port "$BASE_PORT" --record-files || exit 1
fleet_start_all || exit 1
fleet_supervise
"$BIN/bench" prepare --directory "$RUN" --operators "$(address 100)" --operators "$(address 101)" || exit 1
echo "first versions: plant-1 on 12 engines, yard-1 on 3"
roll_out yard yard-1 || exit 1
roll_out plant plant-1 || exit 1
firford rollout watch yard || exit 1
firford rollout watch plant || exit 1

echo "callers keep asking"
printf 'callers\t-\t%s\n' "$BIN/bench callers --entries $(address 80) --entries $(address 81) --tokens $RUN/callers.tokens \
--engines plant --engines yard --services office --record $RUN/callers.jsonl --length 10m" >>"$RUN/processes.tsv"
fleet_start callers
sleep "$BEFORE_S"
ORIGIN_BEFORE=$(origin_bytes)
[ "${KILL:-}" = platform ] && ORIGIN_BEFORE=0 # Its counters start again with it.
echo "pushing plant-2 in a burst"
roll_out plant plant-2 || exit 1
if [ -n "${KILL:-}" ]; then
  sleep 3
  echo "killing $KILL"
  fleet_signal KILL "$KILL"
fi
firford rollout watch plant || exit 1
ORIGIN_AFTER=$(origin_bytes)
sleep 2
fleet_unsupervise
fleet_stop TERM callers
"$BIN/bench" demo --directory "$RUN" --new-version plant-2 --replicas 12 --started "$STARTED" \
  --origin-bytes "$((ORIGIN_AFTER - ORIGIN_BEFORE))" --size "$SIZE"
STATUS=$?
stop_all
if [ $STATUS -eq 0 ]; then rm -rf "$RUN"; else echo "logs and records: $RUN" >&2; fi
exit $STATUS
