# Functions for scripts that run several processes of the system. Each process
# is stopped by its id when the script ends, also when it is interrupted.
# Source it: `source scripts/processes.sh`.

PROCESS_IDS=()

# start NAME COMMAND... runs the command in the background with its log under $RUN.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  PROCESS_IDS+=($!)
  echo $! >"$RUN/$name.pid"
}

# owned ID tells whether the process with the id was started by this script. The
# id of a process that has ended may belong to another one, which must not be
# signalled: the process has to be a child of this shell or name $RUN in its
# command line.
owned() {
  local parent
  parent=$(awk '/^State:/ && $2 == "Z" { exit } /^PPid:/ { print $2 }' "/proc/$1/status" 2>/dev/null)
  [ "$parent" = "$$" ] || { [ -n "${RUN:-}" ] && grep -qsF -- "$RUN" "/proc/$1/cmdline"; }
}

# stop_all ends every process that this script started.
stop_all() {
  trap - EXIT INT TERM
  if declare -F fleet_adopt >/dev/null; then fleet_unsupervise; fleet_adopt; fi
  # A process that has ended by itself must not end the loop under set -e.
  set +e
  local id
  for id in "${PROCESS_IDS[@]}"; do owned "$id" && kill -CONT "$id" 2>/dev/null && kill -TERM "$id" 2>/dev/null; done
  for id in "${PROCESS_IDS[@]}"; do
    for _ in $(seq 50); do owned "$id" || break; sleep 0.1; done
    owned "$id" && kill -KILL "$id" 2>/dev/null
  done
  wait 2>/dev/null
}

trap stop_all EXIT
trap 'exit 130' INT TERM

# fetch ADDRESS/PATH [--data BODY] sends an HTTP request and prints the answer.
fetch() { "${BIN:-out/bin}/bench" fetch "$@"; }

# wait_ready ADDRESS waits until GET /ready at the address answers 200.
wait_ready() {
  local address=$1
  for _ in $(seq 300); do
    fetch "$address/ready" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "not ready: $address" >&2
  return 1
}
