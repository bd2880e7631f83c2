#!/bin/sh
# Builds the project's stand-ins, which the scripts import from dist/.
cd "$(dirname "$0")/.." || exit 2
exec npx --no-install tsc --project tsconfig.json
