# Functions shared by the tests of a daemon whose settings name no memory limit.
# The process gets a resource limit instead, which it must find by itself.
MEMORY_MB=160
BODY_BYTES=8000000
CROWD=30

# Starts the deployment with a resource limit for the daemon, lets the crowd
# send in one pattern, and checks the bounds.
meet_crowd_at_limit() { # PATTERN ULIMIT_FLAG LIMIT_MB
  start_store
  write_settings 1 perth perth-north
  launch "$WORK/daemon-1.log" bash -c \
    'ulimit "$1" "$2" && exec "$3" --settings "$4"' limited \
    "$2" $(($3 * 1024)) "$BUILD/baobabd" "$WORK/host-1.toml"
  DAEMON_PID[1]=$LAUNCHED
  sed "s/^\[limits\]/&\nbody_bytes = $BODY_BYTES/" \
    examples/services/quoting.toml >"$WORK/quoting.toml"
  publish "$WORK/quoting.toml"
  wait_metric generation 1 30 1
  python3 testing/integration/hostile_callers.py "$1" "$NET.1:8080" \
    "$NET.1:7200" "$NET.1:8000" "${DAEMON_PID[1]}" \
    "$MEMORY_MB" "$BODY_BYTES" "$CROWD" || fail "see above"
  kill -0 "${DAEMON_PID[1]}" || fail "the daemon has ended"
}
