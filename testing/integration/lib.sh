# Functions shared by the integration tests, which run real processes on
# loopback addresses. Each test sets NET to addresses of its own before it
# sources this file.
#
# The tests wait for events, with time limits derived from the stated
# guarantees, so that no check depends on the speed of the machine.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
BUILD=${BUILD:-build}
WORK=$(mktemp -d)
. scripts/cluster.sh

cleanup() {
  local code=$?
  set +e
  stop_all
  [ -z "${KEEP:-}" ] || cp -r "$WORK" "$KEEP"
  if [ $code -ne 0 ]; then
    tail -n 30 "$WORK"/*.log "$WORK"/*.json 2>/dev/null
  fi
  rm -rf "$WORK"
  exit $code
}
trap cleanup EXIT

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

publish() {
  "$BUILD/baobab-publish" --store "$STORE" "$@"
}

# Starts baobab-load in the background, with callers on the listed hosts.
start_load() { # NAME SECONDS RATE POST_FRACTION N...
  local name=$1 seconds=$2 rate=$3 posts=$4 n addresses="" records=""
  shift 4
  for n in "$@"; do
    addresses+="${addresses:+, }\"$NET.$n:8080\""
  done
  for n in $(seq 40); do
    records+="${records:+, }\"$WORK/record-$n\""
  done
  cat >"$WORK/$name.toml" <<LOAD
seed = ${SEED:-1}
rate = $rate
seconds = $seconds
post_fraction = $posts
timeout_ms = 30000
addresses = [$addresses]
services = [${SERVICES:-\"quoting.karri-ridge.example\"}]
records = [$records]
LOAD
  "$BUILD/baobab-load" --json --experiment "$WORK/$name.toml" \
    >"$WORK/$name.json" &
  LOAD_PID=$!
}

# Waits for the load to end and requires that it saw no violated guarantee.
finish_load() { # NAME
  wait "$LOAD_PID" || fail "a guarantee was violated: $(cat "$WORK/$1.json")"
  echo "$1: $(cut -c1-180 "$WORK/$1.json")"
}

# Prints one value of a load's result.
field() { # NAME KEY
  python3 -c 'import json, sys
print(json.load(open(sys.argv[1]))[sys.argv[2]])' "$WORK/$1.json" "$2"
}

# Requires that at least a percentage of a load's calls was answered.
require_answered() { # NAME PERCENT
  local calls answered
  calls=$(field "$1" calls)
  answered=$(field "$1" answered)
  [ $((answered * 100)) -ge $((calls * $2)) ] ||
    fail "$1: only $answered of $calls calls were answered"
}

# Waits until a metric of one host is at most a value.
wait_metric_at_most() { # N NAME VALUE SECONDS
  local end=$((SECONDS + $4)) seen
  while seen=$(metric "$1" "$2"); [ "${seen:-999}" -gt "$3" ]; do
    [ $SECONDS -lt $end ] || fail "host $1: $2 is $seen, not at most $3"
    sleep 0.05
  done
}
