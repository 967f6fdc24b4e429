"""Loads and paces of upstreams, and what VMs tell each other of them."""
