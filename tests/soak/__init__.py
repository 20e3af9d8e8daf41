"""Randomized soak test of the direct path: real processes under injected faults.

It checks the guarantees on responses and on executions of requests.
"""
