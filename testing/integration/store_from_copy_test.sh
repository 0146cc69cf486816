#!/usr/bin/env bash
# The store comes back from an older copy, so that its revisions go back and are
# given out again. What is published afterwards must be in force everywhere.
NET=127.20.90
. "$(dirname "$0")/lib.sh"
. testing/integration/platform.sh

HOSTS="1 2 3 4 5 6"
EXTRA_SETTINGS="[control]
readers_per_zone = 1
status_ms = 600000"

# Time in seconds after which a change must be in force: the store is calm again
# for 3 s, and 5 s are allowed for what it missed.
IN_FORCE=8

# Time in which the confirmations of all daemons are later than the last write.
ASKED=3

# Requires that all daemons serve a version's route and not the one before the
# last.
require_version() { # VERSION
  local n
  wait_metric generation "$1" $IN_FORCE $HOSTS ||
    fail "version $1 is not in force"
  for n in $HOSTS; do
    [ "$(status_of_version "$n" "$1")" = 200 ] ||
      fail "host $n: the route of version $1 is not served"
    [ "$(status_of_version "$n" $(($1 - 2)))" = 404 ] ||
      fail "host $n: the route of version $(($1 - 2)) is still there"
  done
}

start_platform_store
publish_version 5
start_hosts jawa-barat bandung quoting 1 2 3
start_hosts jawa-timur malang quoting 4 5 6
wait_fleet $HOSTS
require_version 5
write_notes 100
publish_version 6
require_version 6
sleep $ASKED

# The copy is older than version 6, which the operator writes again before the
# next one. The counter stays below the revisions that the daemons have seen.
kill_now "$STORE_PID"
sleep 1
start_platform_store --lose 90
publish_version 6
publish_version 7
require_version 7

# The daemons reach the store only after its counter has passed the revisions
# that they have seen, so the change stands at one that was given out before.
write_notes 100
sleep $ASKED
kill_now "$STORE_PID"
start_platform_store --lose 90 --operator-only
publish_version 8
write_notes 150
set_store_faults '{"operator_only": false}'
require_version 8

# Without a loss, the store's restart changes nothing.
kill_now "$STORE_PID"
start_platform_store
publish_version 9
require_version 9

# A store that does not name its era. What it shows may be old, but a newer
# version in it counts.
write_notes 100
sleep $ASKED
kill_now "$STORE_PID"
start_platform_store --no-era --lose 90
publish_version 10
require_version 10
