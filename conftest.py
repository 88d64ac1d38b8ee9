"""Hypothesis profiles: a derandomized one for CI and a longer one for soak runs."""

from __future__ import annotations

import os

import hypothesis

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None, database=None)
hypothesis.settings.register_profile("soak", deadline=None, database=None, max_examples=2_000)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
