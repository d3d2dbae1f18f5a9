#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start beside the hosts. Their
# stand-ins for the store, upstreams and clients use Python's standard library
# only, so it is enough that they compile.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for file in review/1[1-5]/*.py; do
    python3 - "$file" <<'PYTHON'
import pathlib
import py_compile
import sys

source = pathlib.Path(sys.argv[1])
name = "-".join(source.parts[-2:])
py_compile.compile(
    str(source), cfile=f"target/review-3/{name}c", doraise=True
)
PYTHON
done
