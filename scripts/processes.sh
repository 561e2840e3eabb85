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

# own ID reports whether the process is still a child of this script. The system
# gives the id of an ended process to others.
own() {
  local parent
  read -r _ _ _ parent _ 2>/dev/null <"/proc/$1/stat" && [ "$parent" = "$$" ]
}

# stop_all ends every process that this script started.
stop_all() {
  trap - EXIT INT TERM
  if declare -F fleet_adopt >/dev/null; then fleet_unsupervise; fleet_adopt; fi
  # A process that has ended by itself must not end the loop under set -e.
  set +e
  local id
  for id in "${PROCESS_IDS[@]}"; do own "$id" && kill -CONT "$id" && kill -TERM "$id"; done
  for id in "${PROCESS_IDS[@]}"; do
    for _ in $(seq 50); do own "$id" || break; sleep 0.1; done
    own "$id" && kill -KILL "$id"
  done
  wait 2>/dev/null
}

trap stop_all EXIT
trap 'exit 130' INT TERM

# wait_ready ADDRESS waits until GET /ready at the address answers 200.
wait_ready() {
  local address=$1
  for _ in $(seq 300); do
    curl -fs -o /dev/null "http://$address/ready" && return 0
    sleep 0.1
  done
  echo "not ready: $address" >&2
  return 1
}
