"""What the daemon needs from the outside, as typed interfaces."""
