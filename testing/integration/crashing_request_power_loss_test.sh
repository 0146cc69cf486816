#!/usr/bin/env bash
# A request that crashes targets is sent on and on after all hosts have lost
# power, with their targets.
set -euo pipefail
cd "$(dirname "$0")/../.."
python3 testing/integration/crashing_request.py power_loss --method GET \
  --build "${BUILD:-build}" --net 127.20.47
