"""Choice of runners, and what hosts know of their state."""
