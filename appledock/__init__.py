"""appledock: a cluster scheduler whose jobs progress in one-write steps."""

__version__ = "0.1.0"
