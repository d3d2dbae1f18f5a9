"""Load tool and measurements."""
