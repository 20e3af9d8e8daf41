"""One process of load: sends streamed requests and prints its figures as one JSON line.

Run as ``python -m bench.load_process URLS RATE COUNT TOKENS KEY FIRST_PROMPT``.
"""

import asyncio
import json
import sys
from dataclasses import asdict, dataclass

from cactuspass_standins._client_load import ChatWorkload, LoadGenerator, LoadSettings

PROMPT_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """What one process of load saw."""

    whole: int
    sent: int
    first_token_seconds: tuple[float, ...]
    whole_seconds: tuple[float, ...]
    errors: tuple[str, ...]


async def run_load(urls: list[str], rate: float, count: int, tokens: int, key: str) -> LoadFigures:
    """Send the requests and return the figures."""
    workload = ChatWorkload(
        model="assistant", max_tokens=tokens, prompt_characters=PROMPT_CHARACTERS
    )
    settings = LoadSettings(rate=rate, count=count, customers=(key,), timeout=60.0)
    report = await LoadGenerator(urls, workload, settings).run()
    return LoadFigures(
        report.complete_count,
        len(report.results),
        tuple(
            result.first_token_seconds
            for result in report.results
            if result.is_complete and result.first_token_seconds is not None
        ),
        tuple(result.seconds for result in report.results if result.is_complete),
        tuple(
            f"{result.status} {result.error}" for result in report.results if not result.is_complete
        )[:5],
    )


def main() -> None:
    """Run one process of load from the command line."""
    urls, rate, count, tokens, key = sys.argv[1:6]
    figures = asyncio.run(run_load(urls.split(","), float(rate), int(count), int(tokens), key))
    print(json.dumps(asdict(figures)), flush=True)


if __name__ == "__main__":
    main()
