#!/bin/sh
# Moves a service to a version that answers all requests of one route with 404, and checks EXPOSURE.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the disruption is
# left out: target/review3/harness3 reads the variable.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/harness3 ] && [ -x target/sequoia-edge ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review3/harness3 -case rollout-4xx -record review/11/record.txt
