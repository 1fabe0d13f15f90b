"""Run a whole deployment on one machine, for trying it and for tests."""
