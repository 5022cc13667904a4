"""Serving for prompts that return after long gaps."""

__all__ = ["__version__"]

__version__ = "0.2.0"
