# Functions for tests on the managed platform: its store as a process that can
# end and come back, and its operator. Source lib.sh first.
DAEMON=baobab-sidecar
STORE=$NET.250:7000

# Starts the platform's store, with the objects that were written before.
start_platform_store() { # [FLAG...]
  launch "$WORK/store.log" python3 testing/integration/platform_store.py \
    "$STORE" "$WORK/store.journal" "$@"
  STORE_PID=$LAUNCHED
  wait_http "$STORE" /stats
}

# Publishes a version, again and again until the store acknowledges it.
publish_version() { # VERSION
  local end=$((SECONDS + 20))
  until python3 testing/integration/platform_operator.py "$STORE" publish "$1"; do
    [ $SECONDS -lt $end ] || fail "version $1 was not acknowledged"
    sleep 0.1
  done
}

# Writes objects of another kind, which raises the store's revision.
write_notes() { # COUNT
  python3 testing/integration/platform_operator.py "$STORE" write "$1"
}

set_store_faults() { # JSON
  curl -fs -m 2 -o /dev/null -d "$1" "http://$STORE/faults"
}

# Prints the status of a request for a route of a version.
status_of_version() { # N VERSION
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' \
    "http://$NET.$1:8080/r$2/" || true
}
