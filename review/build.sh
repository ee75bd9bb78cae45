#!/usr/bin/env bash
# Builds what the cases start: the programs of the deploy file's build. The stand-ins are Python and need no build; they
# are compiled once, so that a missing interpreter or a slip in them shows here.
set -euo pipefail
cd "$(dirname "$0")/.."
# After the deploy file's build everything is there; without a network nothing is asked for.
CARGO_NET_OFFLINE=true cargo build --release --locked || cargo build --release --locked
python3 - <<'PY'
import pathlib, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
