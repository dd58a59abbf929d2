#!/bin/sh
# The stand-ins of the cases are Python files without dependencies: this only checks
# that they compile, and that the build of the deploy file has left the product.
cd "$(dirname "$0")" || exit 1
python3 -m py_compile lib/*.py */play.py || exit 1
[ -d ../target/deps/gentianwharf ] || { echo "build by the deploy file first"; exit 1; }
