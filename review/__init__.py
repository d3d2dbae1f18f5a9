"""Cases of the review, and the small site that their scripts share."""
