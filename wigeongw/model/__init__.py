"""A model of what wigeongw serves, to try decisions in a second."""
