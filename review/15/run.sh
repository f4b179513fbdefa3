#!/bin/sh
# Moves a service to a version that fails from 85 % of the roll-out's time on, and checks EXPOSURE.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/harness3 ] && [ -x target/sequoia-edge ] || exit 2
exec target/review3/harness3 -case rollout-late -record review/15/record.txt
