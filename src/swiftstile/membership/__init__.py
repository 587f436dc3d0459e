"""Membership: the VMs listed by the platform."""
