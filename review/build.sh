#!/usr/bin/env bash
# Builds the stand-ins and clients that the cases of the review start, into
# target/review/. Needs the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/build.mjs
