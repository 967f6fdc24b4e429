"""Hands requests over to another VM while this one does not reach the upstreams."""
