#!/bin/sh
# Builds the program for the users' platform into target/deps.
set -eu
if [ ! -f target/requirements.txt ] || ! cmp -s deploy/requirements.txt target/requirements.txt; then
  rm -rf target/deps
  python3 -m pip install -q --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt target/requirements.txt
fi
for package in packages/core packages/wire packages/server platform; do
  for source in "$package"/src/*; do
    rm -rf "target/deps/$(basename "$source")"
    cp -R "$source" target/deps/
  done
done
python3 -m compileall -q target/deps/knapweedbeam_*
