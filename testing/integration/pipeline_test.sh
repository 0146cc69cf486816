#!/usr/bin/env bash
# A caller pipelines requests: they run side by side and are answered in order,
# nothing runs behind an answer that closes the connection, a caller that leaves
# ends them all, and a shutdown answers what was read.
NET=127.20.63
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 1"
start_store
start_hosts perth perth-north quoting 1
sed 's/^deadline_ms = .*/deadline_ms = 20000/' \
  examples/services/quoting.toml >"$WORK/quoting.toml"
publish "$WORK/quoting.toml"
wait_fleet 1
python3 testing/integration/pipeline.py "$NET.1" "$WORK/record-1" \
  "${DAEMON_PID[1]}"
wait "${DAEMON_PID[1]}" || fail "the daemon did not exit with code 0"
