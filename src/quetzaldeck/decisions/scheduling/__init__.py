"""Steps of the scheduler: what waits, what is rejected, what is tried again."""
