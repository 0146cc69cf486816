# Starts and stops daemons, targets and the store stand-in on loopback
# addresses. Sourced by the other scripts; every process that it starts is
# ended by stop_all.
#
#   BUILD  build folder
#   WORK   folder for settings, records and logs

PIDS=()
STORE=127.0.0.1:7000

# Runs a program in the background and remembers it.
launch() { # LOG PROGRAM ARGUMENT...
  local log=$1
  shift
  "$@" >>"$log" 2>&1 &
  PIDS+=($!)
  LAUNCHED=$!
}

stop_all() {
  local pid
  for pid in "${PIDS[@]:-}"; do
    [ -n "$pid" ] && kill -CONT "$pid" 2>/dev/null
    [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null
  done
  for pid in "${PIDS[@]:-}"; do
    [ -n "$pid" ] || continue
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.05
    done
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  PIDS=()
}

start_store() { # [ADDRESS]
  STORE=${1:-127.0.0.1:7000}
  launch "$WORK/store.log" "$BUILD/testing/store_standin" --listen "$STORE"
  STORE_PID=$LAUNCHED
  wait_http "$STORE" /stats
}

# Waits until a page answers with status 200.
wait_http() { # ADDRESS PATH [SECONDS]
  local end=$((SECONDS + ${3:-20}))
  until curl -fs -m 1 -o /dev/null "http://$1$2"; do
    if [ $SECONDS -ge $end ]; then
      echo "no answer from http://$1$2" >&2
      return 1
    fi
    sleep 0.05
  done
}

# Writes the settings of host N: its addresses are on 127.1.0.N.
write_settings() { # N REGION ZONE [PEERS_ADDRESS]
  cat >"$WORK/host-$1.toml" <<SETTINGS
workers = ${WORKERS:-1}

[listen]
callers = "127.1.0.$1:8080"
peers = "${4:-127.1.0.$1:7100}"
admin = "127.1.0.$1:7200"

[store]
address = "$STORE"

[locality]
region = "$2"
availability_zone = "$3"

[log]
format = "json"
level = "${LOG_LEVEL:-info}"
${EXTRA_SETTINGS:-}
SETTINGS
}

start_daemon() { # N
  launch "$WORK/daemon-$1.log" "$BUILD/baobabd" --settings "$WORK/host-$1.toml"
  DAEMON_PID[$1]=$LAUNCHED
}

start_target() { # N SERVICE [FLAG...]
  local n=$1 service=$2
  shift 2
  launch "$WORK/target-$n.log" "$BUILD/testing/target_standin" \
    --listen "127.1.0.$n:8000" --daemon "127.1.0.$n:7200" \
    --service "$service" --seed "$n" --record "$WORK/record-$n" "$@"
  TARGET_PID[$n]=$LAUNCHED
}

# One value of a daemon's metrics.
metric() { # N NAME
  curl -s -m 2 "http://127.1.0.$1:7200/metrics" |
    awk -v name="baobab_$2" '$1 == name { print $2 }'
}

# Waits until each listed daemon holds a metric of at least a value.
wait_metric() { # NAME VALUE SECONDS N...
  local name=$1 value=$2 end=$((SECONDS + $3)) n seen
  shift 3
  for n in "$@"; do
    while true; do
      seen=$(metric "$n" "$name")
      [ -n "$seen" ] && awk "BEGIN { exit !($seen >= $value) }" && break
      if [ $SECONDS -ge $end ]; then
        echo "host $n: $name is '${seen:-}', not $value" >&2
        return 1
      fi
      sleep 0.05
    done
  done
}

declare -A DAEMON_PID TARGET_PID
