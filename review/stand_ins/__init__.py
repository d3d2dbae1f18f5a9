"""Stand-ins and a small site for the cases of the review."""
