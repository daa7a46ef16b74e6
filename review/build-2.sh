#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start. Needs the modules of the
# project's own build and no others.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-parts ./review/testdata/parts
