#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -d target/deps/knapweedbeam_platform ] || exit 2
python3 -c "import asyncio; asyncio.timeout" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/../stand_ins_3" exec python3 "$here/case.py" "$here"
