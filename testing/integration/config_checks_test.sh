#!/usr/bin/env bash
# The checks of the configuration soak find what they shall find.
set -euo pipefail
cd "$(dirname "$0")/../soak"
python3 -B -m unittest config_checks_test
