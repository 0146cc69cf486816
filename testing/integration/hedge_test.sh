#!/usr/bin/env bash
# A target stalls. Its calls are hedged and answered by other targets. The
# stalled attempts are cancelled, which frees the slots of the stalled target.
NET=127.20.10
. "$(dirname "$0")/lib.sh"

TARGET_FLAGS="--mean_ms 5"
start_store
start_hosts perth perth-north quoting 1 2 3
cat >"$WORK/quoting.toml" <<SERVICE
name = "quoting"
revision = 1
hosts = ["quoting.karri-ridge.example"]
deadline_ms = 8000
[retry]
ratio = 1.0
burst = 100
[hedge]
enabled = true
SERVICE
publish "$WORK/quoting.toml"
wait_fleet 1 2 3

start_load hedged 6 50 0 1 2 3
sleep 2
curl -fs -o /dev/null -d on "http://$NET.2:8000/control/stall"
finish_load hedged
[ "$(field hedged answered)" = "$(field hedged calls)" ] ||
  fail "calls waited for the stalled target: $(cat "$WORK/hedged.json")"
# Without cancellation each stalled attempt holds a slot until its deadline.
wait_metric_at_most 2 target_running 0 3
