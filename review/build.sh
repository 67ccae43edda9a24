#!/usr/bin/env bash
# Builds what the cases start: the balancer and the control server, from the crates that the deploy file's build has
# fetched. The other stand-ins are Python; they are only checked to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
python3 - review/standins/harness.py review/[0-9]*/case.py <<'PYTHON'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
