"""Entry point of ``python -m quetzaldeck.capacity``."""

from __future__ import annotations

from quetzaldeck.capacity.run import main

main()
