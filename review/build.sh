#!/usr/bin/env bash
# Builds the program that plays the cases with its stand-ins: target/review-world.
set -euo pipefail
cd "$(dirname "$0")/world"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-world .
