"""Large bodies on their way to an upstream."""

import asyncio
import unittest

from cactuspass.exceptions import RunOutcomeUnknown
from cactuspass.fleet._connections import Connection
from cactuspass.fleet._pool import ConnectionPool, OutgoingRequest, PooledExchange

BODY = bytes(range(256)) * 40_000  # more than the kernel keeps for a connection
REQUEST = OutgoingRequest("POST", "/p/x", [], BODY)
MAX_KEPT_BYTES = 262_144
TIMEOUT_SECONDS = 10.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class LargeBodyTest(unittest.IsolatedAsyncioTestCase):
    """An upstream that reads only when the test lets it."""

    async def asyncSetUp(self) -> None:
        self.may_read = asyncio.Event()
        self.received: list[bytes] = []
        self.answers_early = False
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1024)
        self.addCleanup(server.close)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())
        self.pool = ConnectionPool(TIMEOUT_SECONDS)
        self.addCleanup(self.pool.close)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            if self.answers_early:
                writer.write(ANSWER)
            await self.may_read.wait()
            self.received.append(await reader.readexactly(len(BODY)))
            writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def send(self) -> tuple[PooledExchange, Connection]:
        exchange = await self.pool.send_request(self.address, REQUEST)
        await asyncio.sleep(0.05)
        connection = exchange._connection
        assert isinstance(connection, Connection)
        return exchange, connection

    # Guards against copies of bodies that an upstream has not read, which nothing bounds.
    async def test_body_is_kept_once_while_the_upstream_does_not_read(self) -> None:
        exchange, connection = await self.send()
        assert connection._transport is not None
        self.assertLess(connection._transport.get_write_buffer_size(), MAX_KEPT_BYTES)
        self.may_read.set()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual((await exchange.read_head()).status, 200)
            self.assertEqual(await exchange.read_body(), b"ok")
        self.assertEqual(self.received, [BODY])

    # Guards against a request that an upstream would read as the rest of the body before it.
    async def test_connection_is_not_used_again_behind_an_answer_before_the_end(self) -> None:
        self.answers_early = True
        exchange, connection = await self.send()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await exchange.read_body()
        self.assertFalse(connection.is_available)
        self.assertFalse(self.pool.has_idle(self.address))

    # Guards against a body that is sent on after its request was given up.
    async def test_nothing_more_is_sent_of_a_request_that_was_given_up(self) -> None:
        exchange, _ = await self.send()
        exchange.abort()
        self.may_read.set()
        with self.assertRaises(RunOutcomeUnknown):
            await exchange.read_head()
        await asyncio.sleep(0.05)
        self.assertEqual(self.received, [])


if __name__ == "__main__":
    unittest.main()
