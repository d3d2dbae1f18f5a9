#!/bin/sh
# Installs the files that an entry host runs into target/deps: the locked
# dependencies, only when the lock file has changed, and the wigeongw package
# from the working tree.
set -eu
if ! cmp -s deploy/requirements.lock target/requirements.lock; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --require-hashes --target target/deps \
        -r deploy/requirements.lock
    cp deploy/requirements.lock target/requirements.lock
fi
rm -rf target/deps/wigeongw
cp -r wigeongw target/deps/wigeongw
python3 -m compileall -q target/deps/wigeongw
