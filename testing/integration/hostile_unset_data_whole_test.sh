#!/usr/bin/env bash
# The settings name no memory limit, the process has one for its data. Large
# bodies that stop just short of their end don't end it.
NET=127.20.48
. "$(dirname "$0")/lib.sh"
. testing/integration/hostile_unset.sh

meet_crowd_at_limit whole -d "$MEMORY_MB"
