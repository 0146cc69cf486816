#!/usr/bin/env bash
# An idempotent request that crashes targets is sent on and on after all daemons have
# restarted at the same time.
set -euo pipefail
cd "$(dirname "$0")/../.."
python3 testing/integration/crashing_request.py restart_all --method GET \
  --build "${BUILD:-build}" --net 127.20.38
