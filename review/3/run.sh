#!/bin/bash
# Plays the case on loopback. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and of review/build.sh.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
stand_ins="$root/target/review/release/review-stand-ins"
[ -x "$stand_ins" ] || { echo "run review/build.sh first"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR PIDS="$TMPDIR/pids"
: > "$PIDS"
# The stand-ins end all processes that they started; this does so if the script is interrupted or they hang.
end_all() {
    kill -9 "$case" $(cat "$PIDS") 2>/dev/null
    rm -rf "$TMPDIR"
    exit 2
}
trap end_all TERM INT HUP
timeout --signal=KILL 110 "$stand_ins" memory "$root" record.txt &
case=$!
wait "$case"
status=$?
[ "$status" -le 1 ] || end_all
rm -rf "$TMPDIR"
exit "$status"
