#!/usr/bin/env bash
# The stand-ins are plain Python on the standard library: there is nothing to compile,
# so this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.standins.deployment"
