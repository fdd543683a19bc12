"""A stand-in for one PostgreSQL target of a database group."""
