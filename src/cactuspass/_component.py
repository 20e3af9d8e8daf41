"""Life-cycle of the parts that the application owns."""


class Component:
    """Part of the daemon with life-cycle hooks, called by the application."""

    async def start(self) -> None:
        """Open what the component needs."""

    async def drain(self) -> None:
        """Take no new work and finish what is running."""

    async def stop(self) -> None:
        """Close everything; may be called after a failed start."""
