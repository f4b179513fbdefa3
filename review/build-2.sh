#!/bin/sh
# Builds the stand-ins of the cases of the second review, without a network: they use only Go's standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS="${GOFLAGS:+$GOFLAGS }-buildvcs=false" GOPROXY=off go -C review/harness2 build -o ../../target/review2 .
