"""Decides how many upstreams of a service should run in each data centre."""

from cactuspass.fleet.autoscaling._autoscaler import Autoscaler, WantCount

__all__ = ["Autoscaler", "WantCount"]
