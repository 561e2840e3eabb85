#!/usr/bin/env bash
# Runs the case descriptors. It needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/entry ] && [ -x target/review-2/standins-2 ] || exit 2
exec target/review-2/standins-2 descriptors review/6/record.txt
