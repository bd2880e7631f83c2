#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start: the project's own, into dist/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
npx tsc --project tsconfig.json
