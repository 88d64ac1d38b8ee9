"""Platform processes: fronts, which serve callers, and the side processes of engines."""
