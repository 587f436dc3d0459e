"""The request path: admission, balancing and forwarding."""
