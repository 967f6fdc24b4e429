"""The gateway, which serves the requests of callers on one VM.

Nothing is imported here: the entry uses some of the modules, and after a power failure
its callers wait until everything that it imports has been loaded.
"""

from __future__ import annotations
