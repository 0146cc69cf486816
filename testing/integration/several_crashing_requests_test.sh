#!/usr/bin/env bash
# Several requests that crash targets are sent on and on after all daemons have restarted.
set -euo pipefail
cd "$(dirname "$0")/../.."
python3 testing/integration/crashing_request.py restart_all --method POST --requests 3 \
  --build "${BUILD:-build}" --net 127.20.43
