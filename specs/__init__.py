"""Small specifications of the protocols, run by the model checker.

They call the controllers' own decisions where those are pure functions, so
that what is checked is what runs.
"""
