"""Stand-ins for the users' platform, and entry VMs that use them."""

from __future__ import annotations
