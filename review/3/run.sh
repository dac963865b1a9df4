#!/bin/bash
# Plays the case on loopback. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and of review/build.sh.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
stand_ins="$root/target/review/release/review-stand-ins"
[ -x "$stand_ins" ] || { echo "run review/build.sh first"; exit 2; }
timeout --signal=TERM 115 "$stand_ins" sealed-failure "$root" record.txt
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
