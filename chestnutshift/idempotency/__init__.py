"""Run a non-idempotent request at most once: records, tickets, outcomes."""
