#!/usr/bin/env bash
# Many callers send bodies in very large chunks and stop just short.
# The daemon stays within its memory, and an ordinary request is answered.
NET=127.20.72
. "$(dirname "$0")/lib.sh"
. testing/integration/hostile.sh

meet_crowd large_chunks
