#!/usr/bin/env bash
# With a revocation time, a daemon that is cut off from the store and from its
# peers refuses calls with keys in time, and goes on with anonymous ones.
NET=127.20.64
ANNOUNCED=1
. "$(dirname "$0")/lib.sh"

EXTRA_SETTINGS='
[workspaces]
revocation_ms = 5000'
KEY=karri-key-7f3a91c2
hash=$(printf %s "$KEY" | sha256sum | cut -c1-64)
cat >"$WORK/quoting.toml" <<FILE
name = "quoting"
revision = 1
hosts = ["quoting.karri-ridge.example"]
[[routes]]
host = "quoting.karri-ridge.example"
path_prefix = "/open/"
anonymous = true
[[workspaces]]
name = "karri"
key_hashes = ["$hash"]
FILE

# Prints the status of a call to host N.
status_of() { # N PATH
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $KEY" \
    -H 'Host: quoting.karri-ridge.example' "http://$NET.$1:8080$2" || true
}

wait_status() { # N PATH STATUS SECONDS
  local end=$((SECONDS + $4)) seen
  while seen=$(status_of "$1" "$2"); [ "$seen" != "$3" ]; do
    [ $SECONDS -lt $end ] || fail "host $1: status $seen instead of $3"
    sleep 0.1
  done
}

start_store
for n in 1 2 3; do
  start_proxy $n
done
start_hosts perth perth-north quoting 1 2 3
publish "$WORK/quoting.toml"
wait_fleet 1 2 3
for n in 1 2 3; do
  wait_status $n /x 200 10
done
# While daemons are in touch, no call is refused.
for _ in $(seq 60); do
  for n in 1 2 3; do
    [ "$(status_of $n /x)" = 200 ] || fail "host $n refused a call in touch"
  done
  sleep 0.1
done
# The store is away for all: keys are refused, anonymous calls are served.
kill -STOP "$STORE_PID"
for n in 1 2 3; do
  wait_status $n /x 503 12
  [ "$(status_of $n /open/x)" = 200 ] || fail "host $n: anonymous call refused"
done
# Lines are written by a thread of their own.
end=$((SECONDS + 10))
until grep -q keys-outdated "$WORK"/daemon-1.log; do
  [ $SECONDS -lt $end ] || fail "the reason is not logged"
  sleep 0.1
done
kill -CONT "$STORE_PID"
for n in 1 2 3; do
  wait_status $n /x 200 20
done
# A paused daemon does not serve with the key that was withdrawn meanwhile.
kill -STOP "${DAEMON_PID[2]}"
sed -e 's/^revision = 1/revision = 2/' -e 's/^key_hashes.*/key_hashes = []/' \
  "$WORK/quoting.toml" >"$WORK/next.toml"
publish "$WORK/next.toml"
sleep 6
kill -CONT "${DAEMON_PID[2]}"
for _ in $(seq 20); do
  seen=$(status_of 2 /x)
  [ "$seen" = 503 ] || [ "$seen" = 401 ] ||
    fail "status $seen after the key was withdrawn"
done
wait_status 2 /x 401 10
