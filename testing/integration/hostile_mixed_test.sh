#!/usr/bin/env bash
# Callers of four kinds send at once. The daemon stays within its memory, and an
# ordinary request is answered.
NET=127.20.51
. "$(dirname "$0")/lib.sh"
. testing/integration/hostile.sh
. testing/integration/hostile_kinds.sh

meet_kinds whole,pieces,large_chunks,tiny_chunks 40
