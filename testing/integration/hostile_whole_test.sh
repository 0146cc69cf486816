#!/usr/bin/env bash
# Many callers send large bodies of legal size at once and stop just short.
# The daemon stays within its memory, and an ordinary request is answered.
NET=127.20.70
. "$(dirname "$0")/lib.sh"
. testing/integration/hostile.sh

meet_crowd whole
