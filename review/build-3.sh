#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start: checks that each source
# compiles. They need Python's standard library only.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 - "$here"/stand_ins_3/*.py "$here"/1[1-5]/case.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_bytes(), name, "exec")
print(f"{len(sys.argv) - 1} sources compile")
PYTHON
