"""Request router for servers with exclusive key ownership."""

__version__ = "0.1.0"
