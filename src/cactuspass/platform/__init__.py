"""Adapter between the product and the users' platform.

Only this package uses the names of the platform's headers, keys and calls; it translates them and
makes no decisions.
"""
