#!/bin/sh
# Builds the scripts of the cases 11 to 15, with the stand-ins that they start,
# into target/review-3/. The build of the deploy file must have run before.
set -e
cd "$(dirname "$0")/.."
exec node review/build-3.mjs
