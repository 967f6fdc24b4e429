"""The gateway, which serves the requests of callers on one VM.

This file imports no modules: an entry VM uses only some of them, and after a power
failure callers wait until it has loaded every module that it imports.
"""

from __future__ import annotations
