#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the project's own programs: the driver, which holds the stand-ins and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/driver-2
