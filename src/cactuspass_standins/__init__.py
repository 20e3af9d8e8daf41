"""Small stand-ins for the systems that cactuspass meets, for tests, trials and benchmarks."""
