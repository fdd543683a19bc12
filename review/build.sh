#!/bin/sh
# Build what the scripts of the cases start: the entry program with the build
# line of the deploy file, and a check that the stand-ins compile.
set -e
cd "$(dirname "$0")/.."
[ target/deps -nt deploy/requirements.txt ] || {
    python3 -m pip install -q -U --target target/deps \
        -r deploy/requirements.txt && touch target/deps
}
for file in review/*.py review/*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
