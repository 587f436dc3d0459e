"""Control messages between routers, coordinators and gateways."""
