#!/usr/bin/env bash
# Installs what the stand-ins under standins/, soak/ and review/ need, into .venv.
set -euo pipefail
cd "$(dirname "$0")/.."
make .venv/ready
