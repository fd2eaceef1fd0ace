#!/bin/sh
# Checks that the stand-ins and the cases of the second review compile; they need
# nothing but the standard library, and nothing of the project's own stand-ins.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q \
  review/stand_ins_2 review/6 review/7 review/8 review/9 review/10
