#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
python3 -c 'import tomllib' || exit 2
exec python3 -B "$folder/case.py"
