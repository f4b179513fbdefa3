#!/bin/sh
# Builds the stand-ins and checks of the third review into target/review3. The program has no
# dependencies, so it builds without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review3
cd review/harness3
GOWORK=off go build -buildvcs=false -o ../../target/review3/harness3 .
