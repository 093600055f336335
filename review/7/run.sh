#!/usr/bin/env bash
# Plays the case, or with SCENARIO=paused-collector its variant; exit
# code 1: the rule was broken, 0: it held, 2: not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/world ] || exit 2
[ -x target/apps/turmericd/turmericd ] || exit 2
exec target/review-2/world "${SCENARIO:-paused-collector-restart}" \
  review/7/record.txt "${TROUBLE:-1}"
