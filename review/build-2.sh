#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the program itself.
# The stand-ins are Python and need only the packages of the deploy file, so
# this checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
for script in review/[6-9]/*.py review/10/*.py; do
    if [ -e "$script" ]; then
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" \
            "$script"
    fi
done
PYTHONPATH=target/deps:platform:. python3 -B -c \
    "import clockworks.store_stand_in, standins.free_ports"
