#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review. They use the standard
# library alone and are a module outside the workspace.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/standins .
