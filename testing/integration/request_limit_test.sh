#!/usr/bin/env bash
# Targets name a limit of requests in their answers. They get no more than that
# from all daemons together, also while the daemon beside one restarts.
NET=127.20.45
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 20"
start_store
start_hosts perth perth-north quoting 1 2
start_hosts perth perth-south quoting 3 4
publish examples/services/quoting.toml
wait_fleet 1 2 3 4

start_load limited 24 80 0.5 1 2 3 4
sleep 2
curl -fs -o /dev/null -d 4.5 "http://$NET.1:8000/control/limit"
curl -fs -o /dev/null -d 4.5 "http://$NET.2:8000/control/limit"
sleep 3
since=$(date +%s%3N)
sleep 6
kill_now "${DAEMON_PID[2]}"
start_daemon 2
finish_load limited
require_answered limited 90
for n in 1 2; do
  python3 testing/integration/arrivals.py "$WORK/record-$n" limit 4.5 "$since" ||
    fail "target $n got more requests than its limit"
done
# A limit of which the answers no longer speak is over.
curl -fs -o /dev/null -d off "http://$NET.1:8000/control/limit"
before=$(wc -l <"$WORK/record-1")
SEED=2
start_load unlimited 6 80 0.5 1 2 3 4
finish_load unlimited
require_answered unlimited 95
[ $(($(wc -l <"$WORK/record-1") - before)) -gt 60 ] ||
  fail "target 1 is still limited: $(wc -l <"$WORK/record-1"), before $before"
