"""The entry VM of the users' platform: a reverse proxy from callers to replicas."""

from __future__ import annotations
