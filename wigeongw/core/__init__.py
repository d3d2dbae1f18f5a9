"""Records, time and identifiers that every other part rests on."""
