#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10 into target/.
cd "$(dirname "$0")/stage-2" || exit 1
GOWORK=off go build -buildvcs=false -o ../../target/stage-2 .
