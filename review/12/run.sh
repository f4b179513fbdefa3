#!/bin/sh
# Moves a service to a version that rejects all requests of one route, and checks EXPOSURE.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/harness3 ] && [ -x target/sequoia-edge ] || exit 2
exec target/review3/harness3 -case rollout-refused -record review/12/record.txt
