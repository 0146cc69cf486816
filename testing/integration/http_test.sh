#!/usr/bin/env bash
# Unusual and invalid HTTP requests from callers and to the admin port.
NET=127.20.8
EXTRA_SETTINGS='
[timeouts]
caller_header_ms = 1000'
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 1"
start_store
start_hosts perth perth-north quoting 1 2
publish examples/services/quoting.toml
wait_fleet 1 2
python3 testing/integration/http_test.py "$NET.1:8080" "$NET.1:7200"
