"""Runs the whole path as separate processes on this machine, on embedded stand-ins."""
