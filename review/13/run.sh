#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. record.txt tells what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/amaranthd ] && [ -x target/review-3/stand ] || { echo "not built" >&2; exit 2; }
timeout --preserve-status 110 target/review-3/stand takeover "review/13"
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
