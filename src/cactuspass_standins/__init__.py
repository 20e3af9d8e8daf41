"""Simulated external systems (stand-ins) for tests, trials and benchmarks of cactuspass."""
