#!/usr/bin/env bash
# Plays case 14: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/knapweedrouter ] && [ -x target/review-3/standin-3 ] || exit 2
exec target/review-3/standin-3 -root . -out review/14 14
