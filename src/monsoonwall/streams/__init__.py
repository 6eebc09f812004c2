"""Continue streams when an entry host or backend server is lost."""
