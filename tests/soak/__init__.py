"""A randomized soak of the direct path: real processes, faults from outside, promises checked."""
