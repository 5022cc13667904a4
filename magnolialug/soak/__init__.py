"""A randomized soak of the real programs, with faults from outside."""
