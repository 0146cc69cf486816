#!/usr/bin/env bash
# Many callers send chunked bodies far over the limit.
# The daemon stays within its memory, and an ordinary request is answered.
NET=127.20.75
. "$(dirname "$0")/lib.sh"
. testing/integration/hostile.sh

meet_crowd sent_excess
