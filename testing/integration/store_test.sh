#!/usr/bin/env bash
# Publishing and adoption with the store down, slow, and losing answers, and
# with operators who race.
NET=127.20.5
. "$(dirname "$0")/lib.sh"

# A service file of one revision: file NAME REVISION DEADLINE
file() {
  printf 'name = "%s"\nrevision = %s\nhosts = ["%s.example"]\ndeadline_ms = %s\n' \
    "$1" "$2" "$1" "$3" >"$WORK/$1-$2-$3.toml"
  echo "$WORK/$1-$2-$3.toml"
}

faults() { curl -fs -o /dev/null -d "$1" "http://$STORE/faults"; }

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

# The store is away: publishing says so, the daemons go on.
faults '{"outage": true}'
expect_exit 3 publish "$(file a 1 1000)"
start_load outage 4 100 0.5 1 2 3
finish_load outage
require_answered outage 99

# A daemon that starts meanwhile gets the configuration from its peers, once
# it knows one: the others greet it by gossip.
kill_now "${DAEMON_PID[3]}"
start_daemon 3
wait_metric generation 1 18 3
faults '{"outage": false}'
expect_exit 0 publish "$(file a 1 1000)"
wait_metric generation 2 18 1 2 3

# The answer to a write is lost after it took effect.
faults '{"lose_answers": 1}'
expect_exit 0 publish "$(file a 2 1000)"
wait_metric generation 3 18 1 2 3

# The store is slow.
faults '{"delay_ms": 500}'
expect_exit 0 publish "$(file a 3 1000)"
wait_metric generation 4 18 1 2 3
faults '{"delay_ms": 0}'

# Operators race: other services merge, one revision has one winner.
pids=()
for name in b c d e f g; do
  publish "$(file $name 1 1000)" >"$WORK/race-$name.log" 2>&1 &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid" || fail "a publisher of another service lost the race"
done
wait_metric generation 10 18 1 2 3
pids=()
for deadline in 1001 1002 1003 1004; do
  publish "$(file h 1 $deadline)" >"$WORK/race-$deadline.log" 2>&1 &
  pids+=($!)
done
won=0
for pid in "${pids[@]}"; do
  code=0
  wait "$pid" || code=$?
  case $code in
    0) won=$((won + 1)) ;;
    5) ;;
    *) fail "a racing publisher ended with $code" ;;
  esac
done
[ $won -eq 1 ] || fail "$won publishers of one revision won"
wait_metric generation 11 18 1 2 3

# An older revision is refused, and nothing reverts.
expect_exit 5 publish "$(file a 2 2000)"
expect_exit 4 publish <(echo 'name = 3')
sleep 1
for n in 1 2 3; do
  [ "$(metric $n generation)" = 11 ] || fail "host $n reverted"
done
