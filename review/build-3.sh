#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. They need no module but their own.
set -eu
cd "$(dirname "$0")/stand-3"
GOWORK=off go build -o ../../target/review-3/stand .
