#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness"
go build -o ../../target/review-harness .
