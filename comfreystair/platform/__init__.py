"""The users' platform at every edge: names, formats and calls."""
