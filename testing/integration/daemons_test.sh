#!/usr/bin/env bash
# Daemons are paused for longer than every timeout, resumed, killed and
# restarted under load. Callers use the other daemons.
NET=127.20.3
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 20"
start_store
start_hosts perth perth-north quoting 1 2 3 4
publish examples/services/quoting.toml
wait_fleet 1 2 3 4

start_load daemons 16 150 0.6 1 2
sleep 2
kill -STOP "${DAEMON_PID[3]}"
sleep 4
kill -CONT "${DAEMON_PID[3]}"
sleep 1
kill_now "${DAEMON_PID[4]}"
sleep 1
start_daemon 4
wait_metric generation 1 10 4
wait_metric routable_targets 4 30 1 2
kill_now "${DAEMON_PID[3]}"
start_daemon 3
finish_load daemons
require_answered daemons 90
