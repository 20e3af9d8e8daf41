"""Runs the product on the users' platform; it only translates.

Nothing outside this folder knows the names of the platform's headers, keys and calls.
"""
