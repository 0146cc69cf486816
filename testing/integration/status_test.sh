#!/usr/bin/env bash
# Call counts reach the status of the zone. No call is counted twice when an
# aggregator is killed or the store is temporarily unavailable.
NET=127.20.9
EXTRA_SETTINGS='
[control]
status_ms = 1000'
. "$(dirname "$0")/lib.sh"

# Prints the number of calls of all classes in the report.
reported_calls() {
  "$BUILD/baobab-report" --json --store "$STORE" >"$WORK/report.json" || true
  python3 -c 'import json, sys
page = json.load(open(sys.argv[1]))
print(sum(sum(s["calls"].values()) for s in page["services"]))' \
    "$WORK/report.json" 2>/dev/null || echo 0
}

TARGET_FLAGS="--mean_ms 2"
start_store
start_hosts perth perth-north quoting 1 2 3
publish examples/services/quoting.toml
wait_fleet 1 2 3

start_load first 4 100 0.3 1 2 3
sleep 1
curl -fs -o /dev/null -d '{"outage": true}' "http://$STORE/faults"
sleep 2
curl -fs -o /dev/null -d '{"outage": false}' "http://$STORE/faults"
finish_load first
calls=$(field first calls)
end=$((SECONDS + 30))
until [ "$(reported_calls)" -ge "$calls" ]; do
  [ $SECONDS -lt $end ] || fail "reported $(reported_calls) of $calls calls"
  sleep 0.2
done

# All daemons are killed and restarted in turn, the aggregator among them. The
# status contains all counts by then, so none may be lost either.
for n in 1 2 3; do
  kill_now "${DAEMON_PID[$n]}"
  start_daemon $n
  wait_metric routable_targets 3 30 1 2 3
done
SEED=2
start_load second 2 100 0.3 1 2 3
finish_load second
calls=$((calls + $(field second calls)))
end=$((SECONDS + 30))
until [ "$(reported_calls)" -ge "$calls" ]; do
  [ $SECONDS -lt $end ] || fail "reported $(reported_calls) of $calls calls"
  sleep 0.2
done
sleep 3
[ "$(reported_calls)" = "$calls" ] ||
  fail "reported $(reported_calls), not $calls calls"
"$BUILD/baobab-report" --store "$STORE"
"$BUILD/baobab-report" --html --store "$STORE" >"${HTML:-/dev/null}"
