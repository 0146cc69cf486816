#!/usr/bin/env bash
# Callers take all connections and keep them, idle or with half a head.
# An ordinary request on a new connection is answered while they stay.
NET=127.20.93
. "$(dirname "$0")/lib.sh"

CONNECTIONS=40
CROWD=80

# The time limits of the daemon end none of the crowd before the test does.
start_store
EXTRA_SETTINGS="[timeouts]
caller_idle_ms = 600000
caller_header_ms = 300000"
write_settings 1 perth perth-north
sed -i "1i caller_connections = $CONNECTIONS" "$WORK/host-1.toml"
start_daemon 1
publish examples/services/quoting.toml
wait_metric generation 1 30 1
for kind in idle heads; do
  python3 testing/integration/hostile_connections.py "$kind" "$NET.1:8080" \
    "$NET.1:8000" "$NET.1:7200" "${DAEMON_PID[1]}" 200 "$CROWD" ||
    fail "see above"
done
