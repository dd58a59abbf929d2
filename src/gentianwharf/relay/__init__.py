"""From a caller's request to a backend server's answer."""
