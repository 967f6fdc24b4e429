"""Attempts at requests: how they start, what is known of them, how they end."""
