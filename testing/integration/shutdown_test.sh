#!/usr/bin/env bash
# A graceful shutdown cuts no request that is in flight, neither at the daemon
# that callers use nor at the daemon of the target.
NET=127.20.4
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 150"
start_store
start_hosts perth perth-north quoting 1 2 3
publish examples/services/quoting.toml
wait_fleet 1 2 3

# The target's daemon: callers use 1 and 2, and 3 shuts down.
start_load target_side 6 60 0.6 1 2
sleep 2
kill -TERM "${DAEMON_PID[3]}"
wait "${DAEMON_PID[3]}" || fail "the daemon did not stop with 0"
grep -q '"stopped"' "$WORK/daemon-3.log" || fail "no line about the stop"
finish_load target_side
[ "$(field target_side answered)" = "$(field target_side calls)" ] ||
  fail "calls were lost: $(cat "$WORK/target_side.json")"

# The callers' daemon: requests that it has taken are answered.
python3 - "$NET.1" <<'PYTHON' &
import socket, sys
connections = []
for i in range(20):
    connection = socket.create_connection((sys.argv[1], 8080))
    connection.sendall(b"POST / HTTP/1.1\r\nHost: quoting.karri-ridge.example\r\n"
                       b"X-Call-Id: s-%d\r\nContent-Length: 1\r\n\r\nx" % i)
    connections.append(connection)
for i, connection in enumerate(connections):
    connection.settimeout(10)
    answer = b""
    while b"answer to" not in answer:
        part = connection.recv(4096)
        if not part:
            sys.exit(f"connection {i} was cut: {answer!r}")
        answer += part
    if b"answer to s-%d " % i not in answer:
        sys.exit(f"connection {i}: wrong answer {answer!r}")
PYTHON
CLIENT=$!
sleep 0.1
kill -TERM "${DAEMON_PID[1]}"
wait "$CLIENT" || fail "a request in flight was cut"
wait "${DAEMON_PID[1]}" || fail "the daemon did not stop with 0"
