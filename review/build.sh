#!/bin/sh
# Builds the stand-ins of the cases. Run after the build of deploy/system.toml, from any folder.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/standin ./review/standin
