"""End-to-end run of the system: daemons and stand-ins as local processes."""
