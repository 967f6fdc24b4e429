"""Loads and paces of upstreams, and the updates that VMs exchange about them."""
