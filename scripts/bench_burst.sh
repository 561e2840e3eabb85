#!/usr/bin/env bash
# Measures the distribution of a version to HOSTS hosts, one process each, over
# rate-limited loopback. Settings come from the environment: HOSTS, FAULTS
# (none or some), SEED, W (time in which the origin's link carries 4 copies),
# POLICY, and STRATEGIES, a list of swarm, origin, chain and tree that become
# the rows of one table. BASELINE_W is the W of the strategies but swarm, whose
# ratio does not depend on it.
set -euo pipefail
cd "$(dirname "$0")/.."

HOSTS=${HOSTS:-60}
FAULTS=${FAULTS:-none}
SEED=${SEED:-7}
W=${W:-30s}
BASELINE_W=${BASELINE_W:-3s}
POLICY=${POLICY:-less_time}
STRATEGIES=${STRATEGIES:-swarm}
PORT=${PORT:-12000}
OUT=${OUT:-out}
BENCH=$PWD/out/bin/bench
NAME=burst_${HOSTS}_${FAULTS}_${SEED}
if [ "$POLICY" != less_time ]; then NAME=${NAME}_$POLICY; fi

mkdir -p out/bin "$OUT"
go build -o "$BENCH" firford/cmd/bench
go build -o out/bin/fakeplatform firford/cmd/fakeplatform
source scripts/processes.sh
export GOMAXPROCS=1

# apply_faults kills and freezes hosts at the times of the plan.
apply_faults() {
  local pause action name
  until [ -e "$RUN/started" ]; do sleep 0.05; done
  while read -r pause action name; do
    sleep "$pause"
    owned "$(cat "$RUN/$name.pid")" && kill "-$action" "$(cat "$RUN/$name.pid")"
  done <"$RUN/faults.txt"
}

# measure STRATEGY W starts the processes of one run, drives it and stops them.
measure() {
  RUN=$(mktemp -d "$OUT/$NAME.$1.XXXXXX")
  local name address rate
  "$BENCH" burst plan --directory "$RUN" --hosts "$HOSTS" --faults "$FAULTS" --strategy "$1" \
    --policy "$POLICY" --seed "$SEED" --w "$2" --port "$PORT" >"$RUN/hosts.txt"
  PROCESS_IDS=()
  while read -r name address rate; do
    if [ "$name" = origin ]; then
      start origin out/bin/fakeplatform --listen "$address" --origin-bytes-per-s "$rate"
    else
      start "$name" "$BENCH" burst host --directory "$RUN" --name "$name"
    fi
  done <"$RUN/hosts.txt"
  apply_faults >"$RUN/faults.log" 2>&1 &
  PROCESS_IDS+=($!)
  GOMAXPROCS=2 "$BENCH" burst drive --directory "$RUN"
  stop_all
  set -e
  trap stop_all EXIT
  trap 'exit 130' INT TERM
  PROCESS_IDS=()
  RUNS+=("$RUN")
}

RUNS=()
for strategy in $STRATEGIES; do
  if [ "$strategy" = swarm ]; then measure swarm "$W"; else measure "$strategy" "$BASELINE_W"; fi
done
"$BENCH" burst table --out "$OUT" --name "$NAME" \
  --command "make bench_burst HOSTS=$HOSTS FAULTS=$FAULTS SEED=$SEED W=$W POLICY=$POLICY STRATEGIES='$STRATEGIES'" "${RUNS[@]}"
