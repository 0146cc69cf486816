#!/usr/bin/env bash
# The keys of workspaces stay in the daemon that receives them: they reach
# neither targets nor other daemons, nor logs or metrics. Calls without a valid
# key do not run.
NET=127.20.88
. "$(dirname "$0")/lib.sh"

EXTRA_SETTINGS='call_share = 1.0'
LOG_LEVEL=debug
KEY=karri-key-7f3a91c2
WITHDRAWN=jarrah-key-02d9e6b4
hash_of() { printf %s "$1" | sha256sum | cut -c1-64; }

write_workspaces() { # REVISION HASHES
  cat >"$WORK/workspaces.toml" <<FILE
name = "workspaces"
revision = $1
unrouted = true
[[workspaces]]
name = "karri"
key_hashes = [$2]
FILE
}

cat >"$WORK/quoting.toml" <<FILE
name = "quoting"
revision = 1
hosts = ["quoting.karri-ridge.example"]
[[routes]]
host = "quoting.karri-ridge.example"
path_prefix = "/open/"
anonymous = true
FILE

start_store
write_settings 1 perth perth-north
ANNOUNCED=1 write_settings 2 perth perth-north
launch "$WORK/recorder.log" python3 testing/integration/workspace_key.py record \
  "$WORK/recorded" "$NET.2:7101" "$NET.2:7100"
for n in 1 2; do
  start_daemon $n
done
write_workspaces 1 "\"$(hash_of $KEY)\", \"$(hash_of $WITHDRAWN)\""
publish "$WORK/quoting.toml" "$WORK/workspaces.toml"
wait_metric generation 1 30 1 2
wait_metric members 2 30 1 2
python3 testing/integration/workspace_key.py call "$NET.2:7200" "$NET.2:8000" \
  "$NET.1:8080" "$WORK/recorded" "$KEY" "$WITHDRAWN" || fail "see above"
write_workspaces 2 "\"$(hash_of $KEY)\""
publish "$WORK/workspaces.toml"
wait_metric generation 2 30 1 2
python3 testing/integration/workspace_key.py withdrawn "$NET.2:7200" \
  "$NET.2:8000" "$NET.1:8080" "$WORK/recorded" "$KEY" "$WITHDRAWN" ||
  fail "see above"
[ "$(metric 1 'key_refusals_total{reason="unknown"}')" -ge 2 ] ||
  fail "refused keys are not counted"
for n in 1 2; do
  curl -fs -m 2 "http://$NET.$n:7200/metrics" >"$WORK/metrics-$n.txt"
  curl -s -m 2 "http://$NET.$n:7200/status" >"$WORK/status-$n.txt"
done
grep -q call_finished "$WORK/daemon-2.log" || fail "the calls were not logged"
for file in "$WORK"/daemon-*.log "$WORK"/metrics-* "$WORK"/status-* \
  "$WORK"/store.log "$WORK/recorded"; do
  if grep -aqi -e "$KEY" -e "$WITHDRAWN" -e 'wrong-key' "$file"; then
    fail "a key is in $file"
  fi
done
