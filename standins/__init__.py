"""Small stand-ins for the systems around comfreystair, for tests only."""
