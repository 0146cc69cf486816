#!/usr/bin/env bash
# The daemons that watch the store for their zone lose their path to it, silently
# or with resets, while they still talk to all other daemons. A configuration
# that is published meanwhile must reach every daemon.
NET=127.20.60
. "$(dirname "$0")/lib.sh"

HOSTS="1 2 3 4 5 6"
EXTRA_SETTINGS="[control]
readers_per_zone = 1"

# Starts a fault proxy between host N and the store.
start_store_proxy() { # N
  launch "$WORK/store-proxy-$1.log" "$BUILD/testing/fault_proxy" \
    --listen "$NET.$1:7001" --to "$STORE" --control "$NET.$1:7002"
  wait_http "$NET.$1:7002" /stats
}

set_store_path() { # N JSON
  curl -fs -m 2 -o /dev/null -d "$2" "http://$NET.$1:7002/faults"
}

start_zone() { # REGION ZONE N...
  local region=$1 zone=$2 n store=$STORE
  shift 2
  for n in "$@"; do
    start_store_proxy "$n"
    STORE=$NET.$n:7001
    start_hosts "$region" "$zone" quoting "$n"
    STORE=$store
  done
}

publish_revision() { # REVISION
  sed "s/^revision = 1/revision = $1/" examples/services/quoting.toml \
    >"$WORK/quoting.toml"
  publish "$WORK/quoting.toml"
}

# Prints the hosts that watch the store for their zone.
readers() {
  local n
  for n in $HOSTS; do
    [ "$(metric "$n" config_reader)" = 0 ] || echo "$n"
  done
}

start_store
start_zone perth perth-north 1 2 3
start_zone south-west albany 4 5 6
publish examples/services/quoting.toml
wait_fleet $HOSTS
readers=$(readers)
[ "$(wc -w <<<"$readers")" = 2 ] || fail "not one reader a zone:" $readers
echo "readers:" $readers

# Silent: open connections stay open, and no bytes arrive.
for n in $readers; do
  set_store_path "$n" '{"cut_from": ["127.0.0.1"]}'
done
publish_revision 2
wait_metric generation 2 18 $HOSTS

# With resets, and the proxy's server does not answer new connections either.
for n in $readers; do
  set_store_path "$n" '{"reset": true}'
done
publish_revision 3
wait_metric generation 3 18 $HOSTS

# The path is back, and the readers read again.
for n in $readers; do
  set_store_path "$n" '{"cut_from": []}'
done
publish_revision 4
wait_metric generation 4 18 $HOSTS
