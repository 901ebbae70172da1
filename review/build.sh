#!/bin/sh
# The stand-ins need Python 3.11 alone: compiling them checks that they load.
cd "$(dirname "$0")" && python3 -m compileall -q common [1-9]
