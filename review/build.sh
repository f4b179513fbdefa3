#!/bin/sh
# Builds the stand-ins of the scripts into target/. They use the standard library only.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOWORK=off GOFLAGS="-buildvcs=false -mod=mod" GOPROXY=off go build -o ../../target/review-standins .
