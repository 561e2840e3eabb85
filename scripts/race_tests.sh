#!/usr/bin/env bash
# Runs all tests under the race detector. It passes over the faults that KNOWN-RED.txt
# lists, and over nothing else:
#
# - A test that a line "test: PACKAGE NAME" lists may fail.
# - The race detector of Go 1.26.8 itself crashes in TestRandomFaults of lib/rollouts,
#   before any assertion has failed. The tests of that package then run once more
#   without the race detector and have to pass.
set -uo pipefail
cd "$(dirname "$0")/.."

CRASHING_PACKAGE=firford/lib/rollouts
LOG=$(mktemp "${TMPDIR:-/tmp}/firford-race.XXXXXX")
trap 'rm -f "$LOG"' EXIT

# race_detector_crashed tells whether the log shows the crash: a failed check of
# ThreadSanitizer, or a segmentation fault on the system stack, outside of Go code.
# A fault in Go code is a panic and has no such lines.
race_detector_crashed() {
  grep -aq '^ThreadSanitizer: CHECK failed: tsan_rtl' "$LOG" ||
    grep -aA4 '^SIGSEGV: segmentation violation' "$LOG" | grep -aq '^goroutine 0 '
}

# failures prints each package that failed with its failed tests, or with "-" if it
# failed without one: it did not build, panicked or timed out.
failures() {
  awk '
    /^--- FAIL: / { tests = tests " " $3 }
    /^panic: |^fatal error: / { tests = tests " -" }
    $1 == "FAIL" && NF > 1 {
      if (tests == "") tests = " -"
      count = split(tests, names, " ")
      for (i = 1; i <= count; i++) print $2, names[i]
      tests = ""
    }
    $1 == "ok" { tests = "" }
  ' "$LOG"
}

# known_failures prints the tests that may fail, as failures does.
known_failures() {
  [ -f KNOWN-RED.txt ] && sed -n 's/^ *test: \([^ ]*\) \([^ ]*\)$/\1 \2/p' KNOWN-RED.txt
}

# The soak builds the programs itself, so a cached result may be of earlier sources.
SOAK_PACKAGE=firford/platform/soak

run_tests() {
  go test -race -timeout 20m $(go list work | grep -vxF "$SOAK_PACKAGE")
  local status=$?
  go test -race -timeout 20m -count=1 "$SOAK_PACKAGE" || status=$?
  return "$status"
}

run_tests 2>&1 | tee "$LOG"
STATUS=${PIPESTATUS[0]}
[ "$STATUS" -eq 0 ] && exit 0
grep -aq 'DATA RACE' "$LOG" && exit "$STATUS"
UNKNOWN=$(failures | grep -vxF -f <(known_failures))
failures | grep -xF -f <(known_failures) | sed 's/^/known red: /'
[ -z "$UNKNOWN" ] && exit 0
[ "$UNKNOWN" = "$CRASHING_PACKAGE -" ] && race_detector_crashed || exit "$STATUS"
echo "known red: the race detector crashed in $CRASHING_PACKAGE; its tests run without it"
go test -count=1 "$CRASHING_PACKAGE"
