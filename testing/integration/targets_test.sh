#!/usr/bin/env bash
# Targets leave with calls in flight, are killed, restart and stall under load.
NET=127.20.1
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 20"
start_store
start_hosts perth perth-north quoting 1 2
start_hosts perth perth-south quoting 3 4
publish examples/services/quoting.toml
wait_fleet 1 2 3 4

start_load targets 14 150 0.5 1 2 3 4
sleep 2
curl -fs -o /dev/null -X POST "http://$NET.1:8000/control/leave"
wait_metric_at_most 4 routable_targets 3 5
sleep 1
kill_now "${TARGET_PID[2]}"
wait_metric_at_most 4 routable_targets 2 10
start_target 2 quoting $TARGET_FLAGS --cold_start_ms 500
wait_metric routable_targets 3 10 4
curl -fs -o /dev/null -d on "http://$NET.3:8000/control/stall"
sleep 1
curl -fs -o /dev/null -d off "http://$NET.3:8000/control/stall"
finish_load targets
require_answered targets 95
