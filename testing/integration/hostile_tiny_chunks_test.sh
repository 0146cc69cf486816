#!/usr/bin/env bash
# Many callers send bodies in very small chunks and stop just short.
# The daemon stays within its memory, and an ordinary request is answered.
NET=127.20.73
. "$(dirname "$0")/lib.sh"
. testing/integration/hostile.sh

meet_crowd tiny_chunks
