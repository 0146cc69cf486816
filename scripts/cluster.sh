# Starts and stops daemons, targets and the store stand-in on loopback
# addresses. Sourced by the other scripts; every process that it starts is
# ended by stop_all.
#
#   BUILD  build folder
#   WORK   folder for settings, records and logs
#   NET    first three numbers of the loopback addresses, 127.1.0

PIDS=()
NET=${NET:-127.1.0}
STORE=$NET.250:7000

# Runs a program in the background and remembers it.
launch() { # LOG PROGRAM ARGUMENT...
  local log=$1
  shift
  "$@" >>"$log" 2>&1 &
  PIDS+=($!)
  LAUNCHED=$!
}

# Ends processes at once and waits for them.
kill_now() { # PID...
  kill -KILL "$@" 2>/dev/null || true
  wait "$@" 2>/dev/null || true
}

# Asks every process to stop, and ends those that do not within 5 s.
stop_all() {
  [ ${#PIDS[@]} -eq 0 ] && return 0
  kill -CONT "${PIDS[@]}" 2>/dev/null || true
  kill -TERM "${PIDS[@]}" 2>/dev/null || true
  for _ in $(seq 100); do
    kill -0 "${PIDS[@]}" 2>/dev/null || break
    [ -z "$(jobs -rp)" ] && break
    sleep 0.05
  done
  kill_now "${PIDS[@]}"
  PIDS=()
}

start_store() { # [ADDRESS]
  STORE=${1:-$NET.250:7000}
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

# Writes the settings of host N: its addresses are on NET.N.
write_settings() { # N REGION ZONE
  local announced=
  [ -n "${ANNOUNCED:-}" ] && announced="announced = \"$NET.$1:7101\""
  cat >"$WORK/host-$1.toml" <<SETTINGS
workers = ${WORKERS:-1}

[listen]
callers = "$NET.$1:8080"
peers = "$NET.$1:7100"
$announced
admin = "$NET.$1:7200"

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
    --listen "$NET.$n:8000" --daemon "$NET.$n:7200" \
    --service "$service" --seed "$n" --record "$WORK/record-$n" "$@"
  TARGET_PID[$n]=$LAUNCHED
}

# A fault proxy in front of the peers address of host N, which then is
# announced as port 7101. Start it before the daemon, with ANNOUNCED=1 set
# for write_settings.
start_proxy() { # N
  launch "$WORK/proxy-$1.log" "$BUILD/testing/fault_proxy" \
    --listen "$NET.$1:7101" --to "$NET.$1:7100" --control "$NET.$1:7102"
  wait_http "$NET.$1:7102" /stats
}

set_faults() { # N JSON
  curl -fs -m 2 -o /dev/null -d "$2" "http://$NET.$1:7102/faults"
}

# Starts hosts with their daemons and targets.
start_hosts() { # REGION ZONE SERVICE N...
  local region=$1 zone=$2 service=$3 n
  shift 3
  for n in "$@"; do
    write_settings "$n" "$region" "$zone"
    start_daemon "$n"
    start_target "$n" "$service" ${TARGET_FLAGS:-}
  done
}

# Waits until the hosts know each other and hold a configuration.
wait_fleet() { # N...
  wait_metric generation 1 30 "$@"
  wait_metric members $# 30 "$@"
  wait_metric routable_targets $# 30 "$@"
}

# One value of a daemon's metrics.
metric() { # N NAME
  curl -s -m 2 "http://$NET.$1:7200/metrics" |
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
