#!/bin/bash
# Builds the stand-ins of the scripted cases. They use the standard library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
