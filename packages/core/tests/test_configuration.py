"""Guards against a configuration that reverts to an older revision and misreported changes."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, strategies

from gentianpaddle_core import configuration, ids, object_api, store_calls
from gentianpaddle_standins import faults, object_store

TEXT = '[models.m]\nversion = "{}"\n'


def run(
    change: configuration.Change, api: object_api.ObjectApi, rounds: int = 20
) -> configuration.ChangeResult:
    step: configuration.ChangeStep = change.first_step()
    for _ in range(rounds):
        if isinstance(step, store_calls.Put):
            step = change.after_write(api.put(step.key, step.value, step.expected_version))
        elif isinstance(step, store_calls.Get):
            step = change.after_read(api.get(step.key))
        else:
            return step
    return configuration.ChangeUnknown("no end")


def document(revision: int, version: object = "1") -> configuration.Document:
    return configuration.Document(ids.Revision(revision), TEXT.format(version))


@pytest.mark.parametrize(
    ("offered", "result"),
    [
        (document(4), configuration.AdoptionResult.ADOPTED),
        (document(3), configuration.AdoptionResult.SAME),
        (document(2), configuration.AdoptionResult.OLDER),
        (configuration.Document(ids.Revision(9), "["), configuration.AdoptionResult.INVALID),
    ],
)
def test_only_a_higher_valid_revision_is_adopted(
    offered: configuration.Document, result: configuration.AdoptionResult
):
    state = configuration.ConfigurationState()
    state.adopt_if_newer(document(3))
    assert state.adopt_if_newer(offered) is result
    adopted = result is configuration.AdoptionResult.ADOPTED
    assert state.document == (offered if adopted else document(3))


@given(strategies.lists(strategies.integers(1, 30)))
def test_revision_never_decreases(revisions: list[int]):
    state = configuration.ConfigurationState()
    seen = [0]
    for revision in revisions:
        state.adopt_if_newer(document(revision, revision))
        seen.append(state.document.revision)
        assert state.declaration is not None
        assert state.declaration.model_by_name[ids.ModelName("m")].version == str(seen[-1])
    assert seen == sorted(seen)


def test_age_counts_from_the_last_confirmation():
    state = configuration.ConfigurationState()
    assert state.age_s(5.0) == float("inf")
    state.adopt_if_newer(document(3))
    state.confirm(ids.Revision(3), 0.5, 10.0)
    state.confirm(ids.Revision(3), 9.0, 10.2)
    state.confirm(ids.Revision(2), 0.0, 11.0)
    assert state.age_s(12.0) == pytest.approx(2.5)


def test_conflict_lists_differences_from_the_base():
    store = object_store.NonBlockingObjectStore()
    base = configuration.EMPTY_DOCUMENT
    first = run(configuration.new_change(base, TEXT.format("a"), "1"), store)
    assert isinstance(first, configuration.ChangeAccepted)
    second = run(configuration.new_change(first.document, TEXT.format("b"), "2"), store)
    assert isinstance(second, configuration.ChangeAccepted)
    conflicting = run(configuration.new_change(first.document, TEXT.format("c"), "3"), store)
    assert isinstance(conflicting, configuration.ChangeConflict)
    assert conflicting.differences == (configuration.Difference("models.m.version", "a", "b"),)


def test_invalid_document_is_rejected_before_any_write():
    step = configuration.new_change(document(1), "[colours]\na = 1", "1").first_step()
    assert isinstance(step, configuration.ChangeInvalid)


@pytest.mark.parametrize("seed", range(40))
def test_concurrent_changes_are_reported_correctly(seed: int):
    source = random.Random(seed)
    store = object_store.NonBlockingObjectStore()
    rates = faults.FaultRates(failure_before_effect=0.2, lost_write_response=0.4, stale_read=0.2)
    faulty = faults.FaultyObjectApi(store, source, rates)
    accepted: list[str] = []
    undecided: set[str] = set()
    for number in range(60):
        base = store.get(configuration.CONFIGURATION_KEY)
        base_document = configuration.EMPTY_DOCUMENT
        if isinstance(base, object_api.StoredObject):
            base_document = configuration.Document(ids.Revision(base.version), base.value.decode())
        names = [f"{number}a", f"{number}b"]
        for name in names:
            result = run(configuration.new_change(base_document, TEXT.format(name), name), faulty)
            if isinstance(result, configuration.ChangeAccepted):
                accepted.append(name)
            elif isinstance(result, configuration.ChangeUnknown):
                undecided.add(name)
    final = store.get(configuration.CONFIGURATION_KEY)
    assert isinstance(final, object_api.StoredObject)
    # Every version of the object was written by an accepted or an undecided change.
    assert len(accepted) <= final.version <= len(accepted) + len(undecided)
    listed_changes = configuration.history(final.value.decode())
    assert set(listed_changes) <= {*accepted, *undecided}
    assert [name for name in accepted if name in listed_changes] == [
        k for k in listed_changes if k in accepted
    ]


@pytest.mark.parametrize(
    ("took_effect", "later_changes", "kind"),
    [
        (True, 0, configuration.ChangeAccepted),
        (True, 3, configuration.ChangeAccepted),
        (False, 3, configuration.ChangeConflict),
        (False, 40, configuration.ChangeUnknown),
        (True, 40, configuration.ChangeUnknown),
    ],
)
def test_unknown_change_is_resolved_by_a_later_read(
    took_effect: bool, later_changes: int, kind: type
):
    store = object_store.NonBlockingObjectStore()
    first = run(configuration.new_change(configuration.EMPTY_DOCUMENT, "", "0"), store)
    assert isinstance(first, configuration.ChangeAccepted)
    change = configuration.new_change(first.document, TEXT.format("x"), "x")
    write = change.first_step()
    assert isinstance(write, store_calls.Put)
    last = first.document
    if took_effect:
        store.put(write.key, write.value, write.expected_version)
        last = configuration.Document(ids.Revision(2), write.value.decode())
    assert isinstance(change.after_write(object_api.ResponseLost("")), store_calls.Get)
    down = change.after_read(object_api.StoreUnavailable(""))
    assert isinstance(down, configuration.ChangeUnknown)
    for number in range(later_changes):
        later = run(configuration.new_change(last, "", f"later{number}"), store)
        assert isinstance(later, configuration.ChangeAccepted)
        last = later.document
    assert isinstance(change.after_read(store.get(configuration.CONFIGURATION_KEY)), kind)
