#!/bin/sh
# Builds the program with the stand-ins of the cases that are scripts.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-trial ./review/testdata/trial
