#!/usr/bin/env bash
# Answers without end on many connections at once exhausted a daemon's memory,
# though each of them was bounded. The limit is the smallest host's memory.
NET=127.20.61
. "$(dirname "$0")/lib.sh"

# The daemon is told the memory of its host, as by the deployment's template.
EXTRA_SETTINGS="[memory]
limit_mb = 160"
start_store
write_settings 1 perth perth-north
start_daemon 1
publish examples/services/quoting.toml
wait_metric generation 1 30 1
python3 testing/integration/endless_answers.py "$NET.1:8080" "$NET.1:7200" \
  "$NET.1:8000" "${DAEMON_PID[1]}" 160 || fail "see above"
