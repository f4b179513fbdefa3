#!/bin/sh
# Moves a service to a version that answers all requests of one route with 404, and checks EXPOSURE.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/harness3 ] && [ -x target/sequoia-edge ] || exit 2
exec target/review3/harness3 -case rollout-4xx -record review/11/record.txt
