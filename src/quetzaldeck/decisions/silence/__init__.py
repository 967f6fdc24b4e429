"""Silent attempts: when they are checked, and whether another one replaces them."""
