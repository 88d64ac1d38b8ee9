"""Guards against starved classes and organisations, unbounded queues and wrong predicted waits."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from gentianpaddle_core import admission, declarations, ids

MODEL = ids.ModelName("m")
QUOTE = declarations.ClassOfWork(ids.ClassName("quote"), 1.8, 27.0, 0.95, 20.0)
BATCH = declarations.ClassOfWork(ids.ClassName("batch"), 30.0, 90.0, 0.9, 600.0)
BY_NAME = {"quote": QUOTE, "batch": BATCH}


def offer(
    queue: admission.AdmissionQueue,
    organisation: str,
    name: str = "quote",
    cost: float = 1_000.0,
    now_s: float = 0.0,
) -> admission.Admission:
    work = BY_NAME[name]
    return queue.offer(MODEL, ids.OrganisationId(organisation), work, cost, now_s)


def take_next(queue: admission.AdmissionQueue, count: int, now_s: float) -> list[admission.Ticket]:
    taken = []
    for _ in range(count):
        ticket = queue.next_ready(MODEL, now_s)
        if ticket is None:
            break
        assert queue.take(ticket, now_s)
        taken.append(ticket)
    return taken


@pytest.mark.parametrize(
    ("offers", "order"),
    [
        ("a:batch a:quote", "quote batch"),
        ("a:quote a:quote a:batch a:quote", "quote quote quote batch"),
    ],
)
def test_higher_class_goes_first(offers: str, order: str):
    queue = admission.new_admission_queue()
    for item in offers.split():
        assert isinstance(offer(queue, *item.split(":")), admission.Queued)
    assert [t.class_of_work.name for t in take_next(queue, 9, 0.0)] == order.split()


def test_low_class_is_not_starved():
    queue = admission.new_admission_queue()
    offer(queue, "a", "batch")
    taken = []
    for step in range(100):
        offer(queue, "a", now_s=step * 0.01)
        offer(queue, "b", now_s=step * 0.01)
        taken += take_next(queue, 1, step * 0.01)
    position = [t.class_of_work.name for t in taken].index("batch")
    assert 10 <= position <= 1 / admission.MINIMUM_SHARE


@pytest.mark.parametrize("large", [50, 400])
def test_small_organisation_is_served_beside_a_large_one(large: int):
    queue = admission.new_admission_queue()
    for _ in range(large):
        offer(queue, "large")
    offer(queue, "small")
    started = [t.organisation for t in take_next(queue, 12, 0.0)]
    assert "small" in started


def test_refusal_carries_the_predicted_time_until_capacity():
    queue = admission.new_admission_queue()
    for _ in range(10):
        offer(queue, "a", cost=1_000.0)
    for step in range(1, 6):
        take_next(queue, 1, step * 0.2)
    for _ in range(3):
        offer(queue, "a", cost=1_000.0, now_s=1.0)
    refused = offer(queue, "a", cost=1_000.0, now_s=1.0)
    # 8 requests wait and one starts every 0.2 s; the target leaves 0.7 x 1.8 s for the queue.
    assert isinstance(refused, admission.Refused)
    assert refused.reason is admission.Reason.TARGET
    assert refused.retry_after_s == pytest.approx(0.5, abs=0.15)


def test_full_queue_displaces_the_lowest_class():
    queue = admission.new_admission_queue(limit=3)
    for name in ("batch", "quote", "quote"):
        offer(queue, "a", name)
    result = offer(queue, "a")
    assert isinstance(result, admission.Queued)
    assert result.displaced is not None
    assert result.displaced.ticket.class_of_work is BATCH
    refused = offer(queue, "a", "batch")
    assert isinstance(refused, admission.Refused)
    assert refused.reason is admission.Reason.QUEUE_FULL


@pytest.mark.parametrize(
    ("starts", "now_s", "dropped"),
    [(0, 2.2, 0), (0, 2.5, 0), (0, 8.0, 2), (0, 12.0, 3), (1, 2.5, 0), (1, 20.1, 2)],
)
def test_late_requests_expire_once_they_cannot_start_before_the_deadline(
    starts: int, now_s: float, dropped: int
):
    queue = admission.new_admission_queue()
    for _ in range(3):
        offer(queue, "a", cost=5_000.0)
    # At 1.3 s the requests are late: 0.7 x 1.8 s, the share of the target for the queue, is over.
    assert queue.next_ready(MODEL, 1.3) is not None
    take_next(queue, starts, 2.0)
    assert len(queue.expire(now_s)) == dropped


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"),
            strategies.sampled_from(["quote", "batch"]),
            strategies.sampled_from(["offer", "take", "cancel", "expire"]),
            strategies.floats(0.0, 8.0),
            strategies.floats(0.0, 50_000.0),
        )
    )
)
def test_every_request_leaves_the_queue_exactly_once(
    steps: list[tuple[str, str, str, float, float]],
):
    queue = admission.new_admission_queue(limit=5)
    now_s, waiting = 0.0, set[int]()
    for organisation, name, action, elapsed_s, cost in steps:
        now_s += elapsed_s
        if action == "offer":
            result = offer(queue, organisation, name, cost, now_s)
            if isinstance(result, admission.Queued):
                waiting.add(result.ticket.number)
                if result.displaced:
                    waiting.remove(result.displaced.ticket.number)
        elif action == "expire":
            waiting -= {ticket.number for ticket in queue.expire(now_s)}
        elif ticket := queue.next_ready(MODEL, now_s):
            assert (queue.take if action == "take" else queue.cancel)(ticket, now_s)
            waiting.remove(ticket.number)
        assert len(queue) == len(waiting) <= 5
    assert {t.number for t in take_next(queue, 9, now_s)} == waiting


@pytest.mark.parametrize(("waited_s", "admitted"), [(0.15, True), (0.4, True), (5.0, False)])
def test_admission_before_the_first_start_of_a_waiting_request(waited_s: float, admitted: bool):
    """Guards against refusals right after the first request began to wait.

    Without a start so far, the measured service rate alone would predict an endless wait.
    """
    queue = admission.new_admission_queue()
    offer(queue, "a", now_s=0.0)
    assert isinstance(offer(queue, "a", now_s=waited_s), admission.Queued) is admitted


def test_late_request_does_not_expire_before_the_first_start():
    """Guards against the expiry of a request that has just become late.

    Without a start of a late request so far, the measured rate would predict an endless wait.
    """
    queue = admission.new_admission_queue()
    offer(queue, "a", cost=150.0)
    late_s = QUOTE.first_token_s + 2 * admission.MINIMUM_LATE_BUSY_S
    for step in range(1, 4):
        assert queue.next_ready(MODEL, late_s * step / 3) is not None
        assert queue.expire(late_s * step / 3) == ()
