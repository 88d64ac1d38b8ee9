"""Processes that serve callers on a platform: the front beside callers, the side beside engines."""
