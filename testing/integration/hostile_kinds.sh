# Function shared by the tests of crowds of several kinds, with the memory and
# the bodies of hostile.sh. Source hostile.sh first.

# Starts the deployment, lets the crowd send, and checks the bounds.
meet_kinds() { # KINDS CROWD
  start_store
  EXTRA_SETTINGS="[memory]
limit_mb = $MEMORY_MB"
  write_settings 1 perth perth-north
  start_daemon 1
  sed "s/^\[limits\]/&\nbody_bytes = $BODY_BYTES/" \
    examples/services/quoting.toml >"$WORK/quoting.toml"
  publish "$WORK/quoting.toml"
  wait_metric generation 1 30 1
  python3 testing/integration/hostile_kinds.py "$1" "$NET.1:8080" \
    "$NET.1:7200" "$NET.1:8000" "${DAEMON_PID[1]}" \
    "$MEMORY_MB" "$BODY_BYTES" "$2" || fail "see above"
  kill -0 "${DAEMON_PID[1]}" || fail "the daemon has ended"
}
