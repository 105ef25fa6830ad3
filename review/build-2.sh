#!/bin/sh
# Builds the stand-ins of the second review, after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin-2 ./review/standin-2
