#!/usr/bin/env bash
# Publishing and adoption of configurations while the store is unavailable, is
# slow or loses answers, and while several operators publish concurrently.
NET=127.20.5
. "$(dirname "$0")/lib.sh"

# Writes a service file and prints its path.
write_service_file() { # NAME REVISION DEADLINE_MS
  printf 'name = "%s"\nrevision = %s\nhosts = ["%s.example"]\ndeadline_ms = %s\n' \
    "$1" "$2" "$1" "$3" >"$WORK/$1-$2-$3.toml"
  echo "$WORK/$1-$2-$3.toml"
}

set_store_faults() { curl -fs -o /dev/null -d "$1" "http://$STORE/faults"; }

expect_exit() { # CODE COMMAND...
  local code=0 expected=$1
  shift
  "$@" >"$WORK/out.log" 2>&1 || code=$?
  [ $code -eq "$expected" ] ||
    fail "exit code $code, not $expected, from $*: $(cat "$WORK/out.log")"
}

start_store
start_hosts perth perth-north quoting 1 2 3
publish examples/services/quoting.toml
wait_fleet 1 2 3

# The store is unavailable: publishing fails with the exit code for an
# unavailable store, and calls are still answered.
set_store_faults '{"outage": true}'
expect_exit 3 publish "$(write_service_file a 1 1000)"
start_load outage 4 100 0.5 1 2 3
finish_load outage
require_answered outage 99

# A daemon that starts meanwhile gets the configuration from its peers, once
# their gossip has reached it.
kill_now "${DAEMON_PID[3]}"
start_daemon 3
wait_metric generation 1 18 3
set_store_faults '{"outage": false}'
expect_exit 0 publish "$(write_service_file a 1 1000)"
wait_metric generation 2 18 1 2 3

# A write takes effect, but its answer is lost.
set_store_faults '{"lose_answers": 1}'
expect_exit 0 publish "$(write_service_file a 2 1000)"
wait_metric generation 3 18 1 2 3

# The store is slow.
set_store_faults '{"delay_ms": 500}'
expect_exit 0 publish "$(write_service_file a 3 1000)"
wait_metric generation 4 18 1 2 3
set_store_faults '{"delay_ms": 0}'

# Concurrent publishers of different services all succeed. Of concurrent
# publishers of one revision exactly one succeeds.
pids=()
for name in b c d e f g; do
  publish "$(write_service_file $name 1 1000)" >"$WORK/race-$name.log" 2>&1 &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid" || fail "a publisher of a different service failed"
done
wait_metric generation 10 18 1 2 3
pids=()
for deadline in 1001 1002 1003 1004; do
  publish "$(write_service_file h 1 $deadline)" >"$WORK/race-$deadline.log" 2>&1 &
  pids+=($!)
done
succeeded=0
for pid in "${pids[@]}"; do
  code=0
  wait "$pid" || code=$?
  case $code in
    0) succeeded=$((succeeded + 1)) ;;
    5) ;;
    *) fail "a concurrent publisher exited with code $code" ;;
  esac
done
[ $succeeded -eq 1 ] || fail "$succeeded publishers of one revision succeeded"
wait_metric generation 11 18 1 2 3

# An older revision and an invalid file are refused, and no daemon reverts.
expect_exit 5 publish "$(write_service_file a 2 2000)"
expect_exit 4 publish <(echo 'name = 3')
sleep 1
for n in 1 2 3; do
  [ "$(metric $n generation)" = 11 ] || fail "host $n changed its generation"
done
