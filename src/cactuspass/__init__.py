"""cactuspass serves models that span several instances."""

__version__ = "0.1.0"
