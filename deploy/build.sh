#!/bin/sh
# Installs the files that an entry host runs into target/deps: the locked
# dependencies, only when the lock file or the kind of machine has changed, and
# the wigeongw package from the working tree.
set -eu
mkdir -p target
# Dependencies are compiled for one platform and one interpreter.
{
    python3 -c 'import sys, sysconfig; print("#", sysconfig.get_platform(),
        sys.implementation.cache_tag)'
    cat deploy/requirements.lock
} >target/wanted
if ! cmp -s target/wanted target/installed; then
    rm -rf target/deps target/installed
    python3 -m pip install -q --no-deps --require-hashes --target target/deps \
        -r deploy/requirements.lock
    cp target/wanted target/installed
fi
rm -rf target/deps/wigeongw
cp -r wigeongw target/deps/wigeongw
python3 -m compileall -q target/deps/wigeongw
