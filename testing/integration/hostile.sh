# Functions shared by the tests of hostile callers. A small crowd meets a daemon
# whose memory is limited in the test's own settings. The bounds don't depend on
# the machine's speed.
MEMORY_MB=96
BODY_BYTES=8000000
CROWD=30

# Starts the deployment, lets the crowd send in one pattern, and checks the
# bounds.
meet_crowd() { # PATTERN
  start_store
  EXTRA_SETTINGS="[memory]
limit_mb = $MEMORY_MB"
  write_settings 1 perth perth-north
  if ! "$BUILD/baobabd" --settings "$WORK/host-1.toml" --check_settings \
    >/dev/null 2>&1; then
    echo "the daemon has no limit of its memory"
    EXTRA_SETTINGS=
    write_settings 1 perth perth-north
  fi
  start_daemon 1
  sed "s/^\[limits\]/&\nbody_bytes = $BODY_BYTES/" \
    examples/services/quoting.toml >"$WORK/quoting.toml"
  publish "$WORK/quoting.toml"
  wait_metric generation 1 30 1
  python3 testing/integration/hostile_callers.py "$1" "$NET.1:8080" \
    "$NET.1:7200" "$NET.1:8000" "${DAEMON_PID[1]}" \
    "$MEMORY_MB" "$BODY_BYTES" "$CROWD" || fail "see above"
  kill -0 "${DAEMON_PID[1]}" || fail "the daemon has ended"
}
