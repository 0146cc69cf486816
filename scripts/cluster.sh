# Functions that start and stop daemons, targets and the store stand-in on
# loopback addresses. Sourced by other scripts. stop_all ends every process
# that was started.
#
#   BUILD  build directory
#   WORK   directory for settings, records and logs
#   NET    first three octets of the loopback addresses; 127.1.0 by default
#   DAEMON program of the daemons; baobabd by default

PIDS=()
NET=${NET:-127.1.0}
STORE=$NET.250:7000

# Runs a program in the background, adds its process ID to PIDS and sets
# LAUNCHED to it.
launch() { # LOG PROGRAM ARGUMENT...
  local log=$1
  shift
  "$@" >>"$log" 2>&1 &
  PIDS+=($!)
  LAUNCHED=$!
}

# Kills processes and waits for them.
kill_now() { # PID...
  kill -KILL "$@" 2>/dev/null || true
  wait "$@" 2>/dev/null || true
}

# Asks all started processes to stop and kills those still running after 5 s.
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

# Starts the store stand-in and sets STORE and STORE_PID.
start_store() { # [ADDRESS]
  STORE=${1:-$NET.250:7000}
  launch "$WORK/store.log" "$BUILD/testing/store_standin" --listen "$STORE"
  STORE_PID=$LAUNCHED
  wait_http "$STORE" /stats
}

# Waits until a URL responds with a success status.
wait_http() { # ADDRESS PATH [SECONDS]
  local end=$((SECONDS + ${3:-20}))
  until curl -fs -m 1 -o /dev/null "http://$1$2"; do
    if [ $SECONDS -ge $end ]; then
      echo "no response from http://$1$2" >&2
      return 1
    fi
    sleep 0.05
  done
}

# Writes the settings of host N, which has the address NET.N.
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
  launch "$WORK/daemon-$1.log" "$BUILD/${DAEMON:-baobabd}" \
    --settings "$WORK/host-$1.toml"
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

# Starts a fault proxy in front of the peer address of host N. Other daemons
# use it if ANNOUNCED=1 is set for write_settings, which then announces port
# 7101. Start it before the daemon.
start_proxy() { # N
  launch "$WORK/proxy-$1.log" "$BUILD/testing/fault_proxy" \
    --listen "$NET.$1:7101" --to "$NET.$1:7100" --control "$NET.$1:7102"
  wait_http "$NET.$1:7102" /stats
}

set_faults() { # N JSON
  curl -fs -m 2 -o /dev/null -d "$2" "http://$NET.$1:7102/faults"
}

# Starts a daemon and a target on each host.
start_hosts() { # REGION ZONE SERVICE N...
  local region=$1 zone=$2 service=$3 n
  shift 3
  for n in "$@"; do
    write_settings "$n" "$region" "$zone"
    start_daemon "$n"
    start_target "$n" "$service" ${TARGET_FLAGS:-}
  done
}

# Waits until all hosts have a configuration and know all members and targets.
wait_fleet() { # N...
  wait_metric generation 1 30 "$@"
  wait_metric members $# 30 "$@"
  wait_metric routable_targets $# 30 "$@"
}

# Prints one value of a daemon's metrics.
metric() { # N NAME
  curl -s -m 2 "http://$NET.$1:7200/metrics" |
    awk -v name="baobab_$2" '$1 == name { print $2 }'
}

# Waits until a metric has at least a value on each listed host.
wait_metric() { # NAME VALUE SECONDS N...
  local name=$1 value=$2 end=$((SECONDS + $3)) n current
  shift 3
  for n in "$@"; do
    while true; do
      # A daemon that has just been started may not listen yet.
      current=$(metric "$n" "$name") || current=
      [ -n "$current" ] && awk "BEGIN { exit !($current >= $value) }" && break
      if [ $SECONDS -ge $end ]; then
        echo "host $n: $name is '${current:-}', expected at least $value" >&2
        return 1
      fi
      sleep 0.05
    done
  done
}

declare -A DAEMON_PID TARGET_PID
