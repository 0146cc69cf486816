#!/usr/bin/env bash
# The stand-ins are Python programs and need no build; this checks that the
# interpreter is there, that they compile, and that the daemon is built.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py */run.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
[ -x ../target/baobab-sidecar ] || {
  echo "target/baobab-sidecar is missing: run the build of deploy/system.toml" >&2
  exit 1
}
