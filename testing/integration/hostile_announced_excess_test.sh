#!/usr/bin/env bash
# Many callers announce bodies far over the limit and send them.
# The daemon stays within its memory, and an ordinary request is answered.
NET=127.20.74
. "$(dirname "$0")/lib.sh"
. testing/integration/hostile.sh

meet_crowd announced_excess
