"""A stand-in for the users' platform: store, promotions and targets."""
