"""Experiments and benchmarks, without pass or fail in CI."""
