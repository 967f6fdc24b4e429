"""The demo: callers, gateways, agents and upstreams in one process."""

from __future__ import annotations

from quetzaldeck.demo.session import DemoSettings, load_demo_settings, run_demo

__all__ = ("DemoSettings", "load_demo_settings", "run_demo")
