#!/bin/sh
# Lets the machines that watch the store lose power, and then those that watch in their place; checks DRAIN and CONFIG.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/harness3 ] && [ -x target/sequoia-edge ] || exit 2
exec target/review3/harness3 -case watchers -record review/14/record.txt
