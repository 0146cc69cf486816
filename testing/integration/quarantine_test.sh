#!/usr/bin/env bash
# A request that crashes every target that runs it is detected and refused by
# all daemons, while other calls are still answered.
NET=127.20.7
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 5"
start_store
start_hosts perth perth-north quoting 1 2 3 4
publish examples/services/quoting.toml
wait_fleet 1 2 3 4

# Sends the crashing request through host N; prints status and outcome.
send_crashing_request() { # N
  curl -s -m 10 -o "$WORK/crashing.out" -D - -X POST -d 'poison barrel' \
    -H 'Host: quoting.karri-ridge.example' "http://$NET.$1:8080/order" |
    tr -d '\r' | awk '/^HTTP/ { s = $2 } /^Baobab-Outcome/ { o = $2 }
      END { print s, o }'
}

start_load healthy 20 40 0.2 1 2 3 4
crashes=0
refused=
for try in $(seq 12); do
  host=$((try % 4 + 1))
  response=$(send_crashing_request $host)
  for n in 1 2 3 4; do
    if ! kill -0 "${TARGET_PID[$n]}" 2>/dev/null; then
      wait "${TARGET_PID[$n]}" 2>/dev/null || true
      crashes=$((crashes + 1))
      start_target "$n" quoting $TARGET_FLAGS
    fi
  done
  if [ "$response" = "502 not-run" ]; then
    refused=$((try))
    break
  fi
  # The caller sends the request again once all daemons know the suspicion.
  wait_metric suspects 1 10 1 2 3 4
done
[ -n "$refused" ] || fail "the request was not refused after $crashes crashes"
[ $crashes -le 4 ] || fail "$crashes targets crashed"
grep -q 'Sending it again will not help' "$WORK/crashing.out" ||
  fail "the response does not advise against a retry: $(cat "$WORK/crashing.out")"
wait_metric routable_targets 4 20 1 2 3 4
for n in 1 2 3 4; do
  [ "$(send_crashing_request $n)" = "502 not-run" ] ||
    fail "host $n did not refuse the request"
done
finish_load healthy
require_answered healthy 90
echo "refused at try $refused after $crashes crashes"
