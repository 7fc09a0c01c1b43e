#!/usr/bin/env bash
# Builds every stand-in and check of the cases 6 to 10. Offline: they need the standard library alone.
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --release --offline --locked
