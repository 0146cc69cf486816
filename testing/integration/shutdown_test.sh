#!/usr/bin/env bash
# A graceful shutdown of a daemon interrupts no request in flight, neither at
# the daemon that callers use nor at the daemon of the target.
NET=127.20.4
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 150"
start_store
start_hosts perth perth-north quoting 1 2 3
sed 's/^deadline_ms = .*/deadline_ms = 30000/; s/^queue_ms = .*/queue_ms = 20000/' \
  examples/services/quoting.toml >"$WORK/quoting.toml"
publish "$WORK/quoting.toml"
wait_fleet 1 2 3

# The daemon of a target: callers use hosts 1 and 2, and host 3 shuts down.
start_load target_side 6 60 0.6 1 2
sleep 2
kill -TERM "${DAEMON_PID[3]}"
wait "${DAEMON_PID[3]}" || fail "the daemon did not exit with code 0"
grep -q '"stopped"' "$WORK/daemon-3.log" ||
  fail "the daemon did not log that it stopped"
finish_load target_side
[ "$(field target_side answered)" = "$(field target_side calls)" ] ||
  fail "calls were lost: $(cat "$WORK/target_side.json")"

# The daemon that callers use: requests that it has accepted are answered. The
# targets stall until the daemon drains, so that all requests are in flight by
# then.
for n in 1 2; do
  curl -fs -o /dev/null -d on "http://$NET.$n:8000/control/stall"
done
before=$(metric 1 'attempts_total{service="quoting"}')
python3 - "$NET.1" <<'PYTHON' &
import socket, sys
connections = []
for i in range(20):
    connection = socket.create_connection((sys.argv[1], 8080))
    connection.sendall(b"POST / HTTP/1.1\r\nHost: quoting.karri-ridge.example\r\n"
                       b"X-Call-Id: s-%d\r\nContent-Length: 1\r\n\r\nx" % i)
    connections.append(connection)
for i, connection in enumerate(connections):
    connection.settimeout(30)
    answer = b""
    while b"answer to" not in answer:
        part = connection.recv(4096)
        if not part:
            sys.exit(f"connection {i} closed before its answer: {answer!r}")
        answer += part
    if b"answer to s-%d " % i not in answer:
        sys.exit(f"connection {i}: wrong answer {answer!r}")
PYTHON
CLIENT=$!
wait_metric 'attempts_total{service="quoting"}' $((before + 20)) 10 1
# An idle connection closes while other requests are in flight, because a later
# request on it could not be completed.
python3 - "$NET.1" <<'PYTHON' &
import socket, sys
connection = socket.create_connection((sys.argv[1], 8080))
connection.settimeout(20)
sys.exit(connection.recv(1) != b"")
PYTHON
IDLE=$!
sleep 0.3
kill -TERM "${DAEMON_PID[1]}"
until grep -q '"draining"' "$WORK/daemon-1.log"; do sleep 0.05; done
wait "$IDLE" || fail "an idle connection was not closed during the shutdown"
for n in 1 2; do
  curl -fs -o /dev/null -d off "http://$NET.$n:8000/control/stall"
done
wait "$CLIENT" || fail "a request in flight was interrupted"
wait "${DAEMON_PID[1]}" || fail "the daemon did not exit with code 0"
