#!/usr/bin/env bash
# A request that crashes targets is refused, and the store comes back from a copy
# that does not have this suspicion yet. It must still be refused after all
# daemons have restarted.
NET=127.20.94
. "$(dirname "$0")/lib.sh"
. testing/integration/platform.sh

HOSTS="1 2 3 4"
EXTRA_SETTINGS="[control]
status_ms = 600000"
TARGET_FLAGS="--mean_ms 5"
CONFIRMED=/baobabcourse/objects/baobab-quarantine/confirmed

# Writes that the copy does not have: more than those of the suspicion, fewer
# than were written before it.
LOST=20

# Time in seconds in which gossip has spread a suspicion, and the keeper has
# looked whether it is stored. After it, nobody is about to store one.
KEEPER_LOOKED=4

# Time in seconds after which the daemons must have acted on the loss: the store
# is calm again for 3 s, and 5 s are allowed for what it missed.
ACTED=8

CRASHES=0

# Sends the crashing request through host N; prints status and outcome.
send_crashing_request() { # N
  curl -s -m 10 -o /dev/null -D - -X POST -d 'poison barrel' \
    -H 'Host: shop.example' "http://$NET.$1:8080/r5/order" |
    tr -d '\r' | awk '/^HTTP/ { s = $2 } /^Baobab-Outcome/ { o = $2 }
      END { print s, o }' || true
}

# Starts the targets that have crashed again, and counts them.
restart_crashed_targets() {
  local n
  for n in $HOSTS; do
    if ! kill -0 "${TARGET_PID[$n]}" 2>/dev/null; then
      wait "${TARGET_PID[$n]}" 2>/dev/null || true
      CRASHES=$((CRASHES + 1))
      start_target "$n" quoting $TARGET_FLAGS
    fi
  done
}

# Requires that every daemon refuses the request.
require_refused() { # TIME
  local n answer
  for n in $HOSTS; do
    answer=$(send_crashing_request "$n")
    [ "$answer" = "502 not-run" ] || fail "host $n: $answer, not refused $1"
  done
}

# Waits until a store has the suspicion.
wait_stored() { # STORE SECONDS
  local end=$((SECONDS + $2))
  until curl -fs -m 1 -o /dev/null "http://$1$CONFIRMED"; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.1
  done
}

start_platform_store
publish_version 5
start_hosts jawa-barat bandung quoting $HOSTS
wait_fleet $HOSTS
write_notes 50

refused=
for try in $(seq 12); do
  answer=$(send_crashing_request $((try % 4 + 1)))
  restart_crashed_targets
  [ "$answer" = "502 not-run" ] && refused=$try && break
  wait_metric suspects 1 10 $HOSTS
done
[ -n "$refused" ] || fail "not refused after $CRASHES crashes"
wait_metric routable_targets 4 20 $HOSTS
sleep $KEEPER_LOOKED
require_refused "before the loss"
wait_stored "$STORE" 10 || fail "the suspicion was not stored"

# The copy is looked at where no daemon can write to it.
kill_now "$STORE_PID"
daemons_store=$STORE
STORE=$NET.251:7000
start_platform_store --lose $LOST
wait_stored "$STORE" 0 && fail "the copy has the suspicion"
kill_now "$STORE_PID"
STORE=$daemons_store
start_platform_store

sleep $ACTED
kill_now "${DAEMON_PID[@]}"
for n in $HOSTS; do
  start_daemon "$n"
done
wait_fleet $HOSTS
CRASHES=0
require_refused "after the restart"
restart_crashed_targets
[ $CRASHES = 0 ] || fail "$CRASHES targets crashed after the restart"
wait_stored "$STORE" 0 || fail "the suspicion is not in the store"
