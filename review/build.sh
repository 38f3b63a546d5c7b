#!/bin/sh
# Builds the stand-ins of the review's scripts: they are Python of the standard library, so they are compiled only.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
