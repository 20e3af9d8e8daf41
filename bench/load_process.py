"""Load generator process: sends streamed requests and prints its figures as a JSON line.

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
    """Figures of one load generator process.

    :param whole: requests with a complete answer.
    :param sent: requests sent.
    :param first_token_seconds: time to first token of each complete answer.
    :param whole_seconds: total time of each complete answer.
    :param errors: status and error of the first failed requests.
    """

    whole: int
    sent: int
    first_token_seconds: tuple[float, ...]
    whole_seconds: tuple[float, ...]
    errors: tuple[str, ...]


async def run_load(urls: list[str], rate: float, count: int, tokens: int, key: str) -> LoadFigures:
    """Send ``count`` requests at ``rate`` a second and return the figures."""
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
    """Run the load that the command line describes."""
    urls, rate, count, tokens, key = sys.argv[1:6]
    figures = asyncio.run(run_load(urls.split(","), float(rate), int(count), int(tokens), key))
    print(json.dumps(asdict(figures)), flush=True)


if __name__ == "__main__":
    main()
