#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2.
# They use the standard library alone and are a module outside the workspace.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOWORK=off go build -o ../../target/review-2/standins-2 .
