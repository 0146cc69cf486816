#!/usr/bin/env bash
# A request that crashes targets while the object store is away is still refused
# after all daemons have restarted.
set -euo pipefail
cd "$(dirname "$0")/../.."
python3 testing/integration/crashing_request.py store_outage --method POST \
  --build "${BUILD:-build}" --net 127.20.39
