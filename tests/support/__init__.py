"""Code shared by test modules."""
