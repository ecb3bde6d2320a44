#!/bin/sh
# Build the stand-ins of all scripts: they are plain Python and need the deploy file's build only.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml first"; exit 1; }
python3 -m compileall -q review/lib
for script in review/[1-5]/case.py; do
    if [ -e "$script" ]; then
        python3 -m py_compile "$script"
    fi
done
