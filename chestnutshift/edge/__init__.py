"""The edge VM process, coordinated through the platform's store."""
