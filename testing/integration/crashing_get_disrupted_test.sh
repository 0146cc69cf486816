#!/usr/bin/env bash
# A request that crashes targets is sent while one daemon is cut off, another frozen, and all restart.
set -euo pipefail
cd "$(dirname "$0")/../.."
python3 testing/integration/crashing_request.py disrupted --method GET --requests 1 \
  --build "${BUILD:-build}" --net 127.20.44
