#!/usr/bin/env bash
# Many callers send a head that stops just short of its end. The daemon stays
# within its memory, and an ordinary request is answered.
NET=127.20.52
. "$(dirname "$0")/lib.sh"
. testing/integration/hostile.sh
. testing/integration/hostile_kinds.sh

meet_kinds heads 300
