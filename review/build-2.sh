#!/usr/bin/env bash
# Builds what the scripts of the second review start: the driver of the cases, which holds every stand-in (clients,
# endpoints, and the project's own stand-in of the platform's store). Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/cases2
