#!/usr/bin/env bash
# Malformed answers of a target, such as one with status 000, reached callers.
NET=127.20.62
. "$(dirname "$0")/lib.sh"

EXTRA_SETTINGS='
[headers]
request_id = "X-Request-Id"'
start_store
for n in 1 2; do
  write_settings $n perth perth-north
  start_daemon $n
done
publish examples/services/quoting.toml
wait_metric generation 1 30 1 2
wait_metric members 2 30 1 2
python3 testing/integration/malformed_answers.py "$NET.1:7200" "$NET.1:8000" \
  "$WORK/daemon-1.log" "$NET.1:8080" "$NET.2:8080" || fail "see above"
