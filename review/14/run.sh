#!/bin/sh
# Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.."
exec node target/review-3/14.cjs
