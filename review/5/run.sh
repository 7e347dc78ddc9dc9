#!/bin/sh
# Plays the case; record.txt beside it says what was sent, answered and run. Needs the deploy file's build and review/build-2.sh.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-lab2 ] && [ -x target/auburnwood-dsr-balancer ] && [ -x target/auburnwood-dsr-agent ] || exit 2
exec target/review-lab2 deregister review/5/record.txt
