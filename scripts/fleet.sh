# Functions that start and restart the processes of a fleet whose files
# `bench fleet` has written under $RUN. Source scripts/processes.sh first.

# fleet_line NAME prints the process's line of the list.
fleet_line() {
  awk -F'\t' -v name="$1" '$1 == name' "$RUN/processes.tsv"
}

# fleet_start NAME starts one process by its command line; its log is appended to.
fleet_start() {
  local line command
  line=$(fleet_line "$1")
  command=$(cut -f3 <<<"$line")
  # The command line holds no spaces within an argument.
  $command >>"$RUN/$1.log" 2>&1 &
  PROCESS_IDS+=($!)
  echo $! >"$RUN/$1.pid"
}

# fleet_start_all starts every process in the order of the list and waits for
# the stand-ins, which the others need at their start.
fleet_start_all() {
  local name ready _
  while IFS=$'\t' read -r name ready _; do
    fleet_start "$name"
    case $name in platform | network | engine-*) wait_ready "$ready" || return 1 ;; esac
  done <"$RUN/processes.tsv"
}

# fleet_wait NAME waits until the process is ready.
fleet_wait() {
  wait_ready "$(fleet_line "$1" | cut -f2)"
}

# fleet_signal SIGNAL NAME sends a signal to one process of the fleet by its id.
fleet_signal() {
  local id
  id=$(cat "$RUN/$2.pid")
  owned "$id" && kill "-$1" "$id" 2>/dev/null
}

# fleet_stop SIGNAL NAME ends one process and waits until it is gone.
fleet_stop() {
  local id
  id=$(cat "$RUN/$2.pid")
  owned "$id" || return 0
  kill -CONT "$id" 2>/dev/null
  kill "-$1" "$id" 2>/dev/null
  wait "$id" 2>/dev/null
}

# fleet_supervise starts processes of the list again that have died, as the
# platform replaces a host, until fleet_unsupervise. It runs in a subshell that
# leaves the ids of what it started in files; stop_all reads them from there.
fleet_supervise() {
  (
    trap 'exit 0' TERM
    trap - EXIT
    while sleep 0.5; do
      while IFS=$'\t' read -r name _ _; do
        [ -e "$RUN/$name.pid" ] || continue
        owned "$(cat "$RUN/$name.pid")" || fleet_start "$name"
      done <"$RUN/processes.tsv"
    done
  ) &
  FLEET_SUPERVISOR=$!
}

# fleet_unsupervise ends the supervision.
fleet_unsupervise() {
  [ -n "${FLEET_SUPERVISOR:-}" ] || return 0
  kill -TERM "$FLEET_SUPERVISOR" 2>/dev/null
  wait "$FLEET_SUPERVISOR" 2>/dev/null
  FLEET_SUPERVISOR=
}

# fleet_adopt adds the ids of processes that subshells have started to PROCESS_IDS.
fleet_adopt() {
  local file id
  for file in "$RUN"/*.pid; do
    id=$(cat "$file")
    owned "$id" && PROCESS_IDS+=("$id")
  done
  return 0
}

# fleet_end SIGNAL NAME signals a process that fleet_restart will start again.
fleet_end() {
  cp "$RUN/$2.pid" "$RUN/$2.ended"
  fleet_signal "$1" "$2"
}

# fleet_restart NAME starts the process that fleet_end has ended, unless another
# fault has done so. Requests in progress get ten seconds to finish.
fleet_restart() {
  local id _
  id=$(cat "$RUN/$1.ended")
  [ "$id" = "$(cat "$RUN/$1.pid")" ] || return 0
  for _ in $(seq 100); do
    owned "$id" || break
    sleep 0.1
  done
  owned "$id" && kill -KILL "$id" 2>/dev/null
  fleet_start "$1"
}
