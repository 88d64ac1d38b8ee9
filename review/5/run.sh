#!/bin/sh
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
