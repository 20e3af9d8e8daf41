"""Records measured times of attempts, by which predictions are corrected."""

from cactuspass._clock import now
from cactuspass.fleet._stream_attempt import StreamAttempt


def note_first_event(attempt: StreamAttempt) -> None:
    """Record the time to the first event of an attempt."""
    attempts, prediction = attempt.request_attempts, attempt.selection.prediction
    if prediction is None or attempts.request.model is None:
        return
    learnt = attempts.dependencies.selector.room_choice.learnt_times
    error = learnt.note_first_event(
        attempts.service, attempts.request.model, prediction, _seconds_without_queue(attempt)
    )
    attempts.dependencies.metrics.prediction_errors.labels("first-event").observe(error)


def note_finished(attempt: StreamAttempt) -> None:
    """Record the time that an attempt took which has delivered the whole answer."""
    attempts, prediction = attempt.request_attempts, attempt.selection.prediction
    if prediction is None:
        return
    learnt = attempts.dependencies.selector.room_choice.learnt_times
    error = learnt.note_request_seconds(
        attempts.service,
        attempts.route.name,
        attempts.customer_id,
        prediction,
        _seconds_without_queue(attempt),
    )
    attempts.dependencies.metrics.prediction_errors.labels("request").observe(error)


def _seconds_without_queue(attempt: StreamAttempt) -> float:
    """Return the seconds since sending, less those that were expected in the queue."""
    return max(0.0, now() - attempt.active.sent_at - attempt.selection.wait)
