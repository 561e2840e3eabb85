#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into target/review-3. They
# use the standard library alone and are a module outside the workspace.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target/review-3
GOWORK=off go build -o ../../target/review-3/standins-3 .
