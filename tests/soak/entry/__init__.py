"""Soak test of entry VMs: seeded random faults on real processes."""

from __future__ import annotations
