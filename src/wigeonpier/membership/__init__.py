"""Which processes live, and what they tell each other."""
