#!/bin/bash
# Builds the stand-ins of the review, beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -tags review -o target/review-standin ./review/standin
