"""Measurements of the decisions against plain baselines."""
