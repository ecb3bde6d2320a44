#!/bin/sh
# Builds the stand-ins of the cases from 6 on. They are Python sources that use the standard library
# alone, so that there is nothing to install; the sources are checked for this interpreter.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "Python 3.11 or newer is needed" >&2
    exit 1
}
for source in lib-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done
echo "the stand-ins are ready"
