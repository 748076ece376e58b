#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The system itself is built by the deploy file's command.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/driver ./review/driver
