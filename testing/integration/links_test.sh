#!/usr/bin/env bash
# Connections between daemons go silent in one direction or in both, in the
# middle of requests and answers, and are reset, while new connections work.
NET=127.20.2
ANNOUNCED=1
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 30"
start_store
for n in 1 2 3; do
  start_proxy $n
done
start_hosts perth perth-north quoting 1 2 3
publish examples/services/quoting.toml
wait_fleet 1 2 3

start_load links 14 150 0.6 1 2 3
for fault in '{"silence": "down"}' '{"silence": "up"}' '{"silence": "both"}' \
  '{"reset": true}' '{"delay_ms": 20}' '{"silence": "both"}'; do
  sleep 2
  for n in 1 2 3; do
    set_faults $n "$fault"
  done
done
finish_load links
require_answered links 95
