#!/usr/bin/env bash
# Callers open more connections than the process has descriptors and keep them.
# The daemon keeps descriptors for its target, other daemons and the store.
NET=127.20.96
. "$(dirname "$0")/lib.sh"

DESCRIPTORS=200
# What the target, other daemons, the store and files may need.
RESERVED=50
CROWD=300

start_store
write_settings 1 perth perth-north
write_settings 2 perth perth-north
launch "$WORK/daemon-1.log" bash -c 'ulimit -n "$0" && exec "$@"' \
  "$DESCRIPTORS" "$BUILD/baobabd" --settings "$WORK/host-1.toml"
DAEMON_PID[1]=$LAUNCHED
publish examples/services/quoting.toml
wait_metric generation 1 30 1
python3 testing/integration/hostile_connections.py mixed "$NET.1:8080" \
  "$NET.1:8000" "$NET.1:7200" "${DAEMON_PID[1]}" \
  $((DESCRIPTORS - RESERVED)) "$CROWD" "$WORK/opened" "$WORK/done" &
CROWD_PID=$!
PIDS+=("$CROWD_PID")
until [ -e "$WORK/opened" ]; do
  kill -0 "$CROWD_PID" 2>/dev/null || fail "see above"
  sleep 0.05
done

# While the crowd stays, the store has a new configuration, whose service has
# its only target on a host that was not there before.
start_daemon 2
start_target 2 ledger
publish examples/services/ledger.toml
wait_metric generation 2 60 1
wait_metric members 2 60 1
wait_metric routable_targets 2 60 1
end=$((SECONDS + 60))
until curl -fs -m 5 -o /dev/null -H "Host: ledger.coopers-java.example" \
  "http://$NET.1:8080/"; do
  [ $SECONDS -lt $end ] || fail "a call doesn't reach the new host"
  sleep 0.1
done
touch "$WORK/done"
wait "$CROWD_PID" || fail "see above"
