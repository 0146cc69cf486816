#!/usr/bin/env bash
# Daemons with names of different lengths refuse none of each other's gossip
# datagrams.
NET=127.20.14
. "$(dirname "$0")/lib.sh"

start_store
start_hosts perth perth-north quoting 1 2
start_hosts perth p quoting 3 4
start_hosts south-west bunbury-1 quoting 5 6
publish examples/services/quoting.toml
wait_fleet 1 2 3 4 5 6
for n in 1 2 3 4 5 6; do
  wait_metric gossip_received_total 20 30 "$n"
  invalid=$(metric "$n" gossip_invalid_total)
  [ "$invalid" = 0 ] ||
    fail "host $n refused $invalid of $(metric "$n" gossip_received_total)"
done
