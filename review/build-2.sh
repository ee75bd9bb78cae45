#!/usr/bin/env bash
# Builds what the cases 6 to 10 start: the programs of the deploy file's build, with the project's own stand-ins, which
# glenctl has. The other stand-ins are Python and need no build; they are compiled once, so that a missing interpreter or
# a slip in them shows here. Nothing is asked for over a network.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_NET_OFFLINE=true cargo build --release --locked
python3 - <<'PY'
import pathlib, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
found = list(pathlib.Path("review/lib2").glob("*.py")) + [pathlib.Path(f"review/{n}/case.py") for n in range(6, 11)]
for path in sorted(found):
    if path.exists():
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
