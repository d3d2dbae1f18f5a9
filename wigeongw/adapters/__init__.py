"""Libraries behind the ports, and twins of them in memory."""
