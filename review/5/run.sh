#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the deploy file's build and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standins --record review/5/record.txt silent-stop
