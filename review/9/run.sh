#!/usr/bin/env bash
# Plays the case; see claim.txt. Status: 1 broken, 0 held, 2 could not run. TROUBLE=0: without it.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/standins
[ -x "$program" ] && [ -x target/platform/chestnutvane-gateway ] || exit 2
timeout -k 2 115 "$program" grown-configuration review/9/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
