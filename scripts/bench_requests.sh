#!/usr/bin/env bash
# Measures the request path: the policies that choose a backend server and the
# goodput under overload in one process, then the cost of the path through one
# entry and one agent, which run on one processor each (GOMAXPROCS=1).
set -uo pipefail
cd "$(dirname "$0")/.."

BIN=out/bin
RUN=$(mktemp -d "${TMPDIR:-/tmp}/firford-bench.XXXXXX")
BASE_PORT=${BASE_PORT:-21000}
OUTPUT=${OUTPUT:-out/bench}
LENGTH=${LENGTH:-4s}
SKIP_SELECTION=${SKIP_SELECTION:-}
AGENT=agent-16 # The backend server of the plain service, which needs no rollout.
source scripts/processes.sh
source scripts/fleet.sh

address() { echo "127.0.0.1:$((BASE_PORT + $1))"; }

if [ -z "$SKIP_SELECTION" ]; then
  "$BIN/bench" selection --length "$LENGTH" --output "$OUTPUT" || exit 1
fi
"$BIN/bench" fleet --directory "$RUN" --base-port "$BASE_PORT" --entries 1 || exit 1
# The stand-in for the network would be measured too, so links go directly.
sed -i "s/:$((BASE_PORT + 315))\"/:$((BASE_PORT + 215))\"/; s/:$((BASE_PORT + 40))\"/:$((BASE_PORT + 20))\"/" "$RUN/hosts.json"
fleet_start platform
start engine "$BIN/fakeengine" --address "$(address 715)" --slots 4096 --queue 4096 --call-time 100ms
wait_ready "$(address 0)" || exit 1
GOMAXPROCS=1 fleet_start "$AGENT"
GOMAXPROCS=1 fleet_start entry-01
"$BIN/bench" prepare --directory "$RUN" --operators "$(address 100)" || exit 1
fleet_wait entry-01 || exit 1
fleet_wait "$AGENT" || exit 1
sleep 3 # The first agent.state has to reach the entry.
"$BIN/bench" overhead --entry "$(address 80)" --engine "$(address 715)" --tokens "$RUN/callers.tokens" \
  --length "$LENGTH" --output "$OUTPUT"
STATUS=$?
stop_all
if [ $STATUS -eq 0 ]; then rm -rf "$RUN"; else echo "logs: $RUN" >&2; fi
exit $STATUS
