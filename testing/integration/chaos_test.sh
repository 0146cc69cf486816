#!/usr/bin/env bash
# Random faults of several kinds, drawn from a seed, during load and publishing:
# silent and reset connections, traffic dropped between two hosts, paused and
# killed daemons, killed and stalled targets, and a store that is unavailable
# and loses answers.
#   chaos_test.sh [SEED]
NET=127.20.11
ANNOUNCED=1
SEED=${1:-7}
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 10"
RANDOM=$SEED

# Prints one of COUNT consecutive numbers, drawn at random. The lowest is FIRST,
# 1 by default.
random_number() { # COUNT [FIRST]
  echo $((RANDOM % $1 + ${2:-1}))
}

start_store
hosts=(1 2 3 4 5 6)
for n in "${hosts[@]}"; do
  start_proxy "$n"
done
start_hosts perth perth-north quoting 1 2
start_hosts perth perth-south quoting 3
start_hosts south-west albany quoting 4 5 6
publish examples/services/quoting.toml
wait_fleet "${hosts[@]}"

restart_target() { # N
  start_target "$1" quoting $TARGET_FLAGS
}

revision=1
publish_next() {
  revision=$((revision + 1))
  sed "s/^revision = 1/revision = $revision/" examples/services/quoting.toml \
    >"$WORK/quoting.toml"
  # The store may be unavailable; a later revision is published instead.
  publish "$WORK/quoting.toml" >/dev/null 2>&1 || true
}

set_store_faults() { curl -fs -o /dev/null -d "$1" "http://$STORE/faults"; }

# Callers use hosts 1 and 4, whose daemons are never paused or killed.
start_load chaos 25 80 0.5 1 4
for step in $(seq 20); do
  n=$(random_number 6)
  case $(random_number 9) in
    1) set_faults "$n" '{"silence": "both"}' ;;
    2) set_faults "$n" '{"silence": "down"}' ;;
    3) set_faults "$n" '{"reset": true}' ;;
    4) set_faults "$n" "{\"cut_from\": [\"$NET.$(random_number 6)\"]}" ;;
    5)
      victim=$(random_number 2 2)
      kill -STOP "${DAEMON_PID[$victim]}"
      sleep 1.5
      kill -CONT "${DAEMON_PID[$victim]}"
      ;;
    6)
      victim=$(random_number 2 5)
      kill_now "${DAEMON_PID[$victim]}"
      start_daemon "$victim"
      ;;
    7)
      kill_now "${TARGET_PID[$n]}"
      restart_target "$n"
      ;;
    8)
      curl -fs -m 2 -o /dev/null -d on "http://$NET.$n:8000/control/stall" || true
      sleep 0.5
      curl -fs -m 2 -o /dev/null -d off "http://$NET.$n:8000/control/stall" || true
      ;;
    9)
      set_store_faults '{"outage": true}'
      sleep 0.5
      set_store_faults '{"outage": false, "lose_answers": 1}'
      ;;
  esac
  publish_next
  sleep 0.5
done
for n in "${hosts[@]}"; do
  set_faults "$n" '{"cut_from": []}'
done
finish_load chaos

# After the faults, every daemon adopts the newest generation.
set_store_faults '{"lose_answers": 0}'
publish "$WORK/quoting.toml"
newest=$(curl -fs "http://$STORE/v1/objects/config/manifest" |
  grep -o '"generation":[0-9]*' | head -1 | cut -d: -f2)
wait_metric generation "$newest" 18 "${hosts[@]}"
wait_metric routable_targets 6 60 "${hosts[@]}"
