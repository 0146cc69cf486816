#!/usr/bin/env bash
# A network partition separates two regions under load. A configuration that is
# published meanwhile reaches both, and the regions reconnect without a restart
# once the partition ends.
NET=127.20.6
ANNOUNCED=1
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 10"
start_store
for n in 1 2 3 4; do
  start_proxy $n
done
start_hosts perth perth-north quoting 1 2
start_hosts south-west albany quoting 3 4
publish examples/services/quoting.toml
wait_fleet 1 2 3 4

start_load regions 34 60 0.5 1 2 3 4
sleep 2
for n in 1 2; do
  set_faults $n "{\"cut_from\": [\"$NET.3\", \"$NET.4\"]}"
done
for n in 3 4; do
  set_faults $n "{\"cut_from\": [\"$NET.1\", \"$NET.2\"]}"
done
sed 's/^revision = 1/revision = 2/' examples/services/quoting.toml \
  >"$WORK/quoting.toml"
publish "$WORK/quoting.toml"
wait_metric generation 2 18 1 2 3 4
# Targets in the other region are not routable, but their daemons stay members.
for n in 1 3; do
  wait_metric_at_most $n routable_targets 2 40
  [ "$(metric $n members)" = 4 ] ||
    fail "host $n dropped members of the other region"
done
for n in 1 2 3 4; do
  set_faults $n '{"cut_from": []}'
done
wait_metric routable_targets 4 60 1 2 3 4
finish_load regions
require_answered regions 99
