"""Encoding of the records that instances write.

A key is a letter for the kind of record, ``/`` and an id. Values are JSON.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from azurecleat_base import Resources, describe, parse_json, split_address
from azurecleat_base.exceptions import DocumentError

from azurecleat_cluster._internal.values import AdviceTerms, JobSpec, Queue, Step

DECODE_ERRORS = (KeyError, IndexError, TypeError, AttributeError, OverflowError)
"""Exceptions, apart from ValueError, that decoding a malformed record may raise."""

MAX_KEY_BYTES = 255
"""Length of a record's key that the log allows."""

MAX_NUMBER = 1 << 53
"""Largest number in a record: times, counts, sizes and epochs are all below."""

MAX_TASKS = 1_000_000
"""Most tasks and steps of a job over all its occurrences, far above what is accepted now: an owner
holds them in memory."""

MAX_PROGRESS_BYTES = (1 << 18) - 1024
"""Size of a job's progress: what the log takes for one record, less its key."""

CHECKPOINT_FRAME_BYTES = 8
"""Bytes around an encoded checkpoint."""

SUBMISSION = "s/"
CANCELLATION = "c/"
INSTANCE = "i/"
CLAIM = "o/"
"""The key of a claim names epoch and instance: two claims of one epoch must not replace each other,
because the first one is in force."""

ZONE = "z/"
"""Zone of an instance, by its node name. It is not a field of the instance's entry, because
instances of earlier versions cannot read an entry with an unknown field."""

RELEASE = "x/"
JOB = "j/"
TARGET = "t/"
FIRST_EPOCH = "e/"
"""Epoch of the owner that first used a target, by target id, if an earlier owner might still act.
It has its own key: earlier versions can't read a target's record with more fields."""

HEARTBEAT = "heartbeat"
DURATIONS = "durations"
"""What the owner has learned about durations. Earlier versions leave out keys they don't know."""
LOAD = "load"
SETTLED = "settled"
"""Epoch of the newest owner that knew, while it owned, that no earlier owner acts any more. Earlier
versions leave out keys they don't know, and don't write it."""


class Submission(NamedTuple):
    """An accepted job, with the configuration of its queue at the time of acceptance."""

    job: str
    team: str
    queue: Queue
    spec: JobSpec


class Claim(NamedTuple):
    """A claim of ownership.

    :param instance: Name of one incarnation of an instance's process.
    :param released: Whether the owner has given up ownership.
    """

    epoch: int
    instance: str
    address: str
    released: bool = False


class InstanceEntry(NamedTuple):
    """Address, start time and processor capacity of an instance.

    :param started: Start time in Unix seconds.
    :param cores: Processor capacity, in cores of standard speed.
    """

    address: str
    started: float
    cores: float = 1.0


class Heartbeat(NamedTuple):
    """Sign of life of an owner, and which jobs it may have started.

    :param horizon: Offset in the jobs stream from which on the owner has started no job.
    """

    epoch: int
    horizon: int


class Crash(NamedTuple):
    """A crash of a target under a run of a task.

    :param run: Number of the run.
    :param address: Address of the target; its incarnations share it.
    :param has_begun: Whether the run is known to have begun.
    :param is_suspected: Whether the run may have caused the crash.
    """

    run: int
    address: str
    has_begun: bool
    is_suspected: bool


class TaskProgress(NamedTuple):
    """Progress of one step that the next owner needs.

    :param done: Indices of tasks that are done.
    :param failures: Names of the failed runs of each task, so that a failure that is reported to
        several owners counts once.
    :param checkpoints: Newest checkpoint of each task.
    :param last_run: Highest run number used in this step.
    :param crashes: Crashes of targets under each task.
    """

    done: tuple[int, ...]
    failures: dict[int, tuple[str, ...]]
    checkpoints: dict[int, str]
    last_run: int = 0
    crashes: dict[int, tuple[Crash, ...]] = {}


class Progress(NamedTuple):
    """Progress of a job. The keys of ``steps`` are occurrence and step index."""

    begun: bool
    outcome: str
    steps: dict[tuple[int, int], TaskProgress]


NO_RESOURCES = Resources(0, 0, 0)


def is_key(key: str) -> bool:
    """Whether the log takes a record with this key, or of another kind with the same name.

    A key that was read has replacement characters, which are longer, where it is not UTF-8.
    """
    try:
        return len(key.encode()) <= MAX_KEY_BYTES
    except UnicodeEncodeError:
        return False


def load(value: str | bytes) -> Any:
    """Parses a JSON value.

    :raises ValueError: The value is not JSON, or nested too deeply.
    """
    try:
        return parse_json(value, "record")
    except DocumentError as error:
        raise ValueError(str(error)) from None


def dump(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def encode_submission(submission: Submission) -> bytes:
    """Encodes a submission, without fields that have their default value."""
    queue = _compact(submission.queue, Queue._field_defaults)
    return dump(
        {
            "team": submission.team,
            "queue": queue,
            "payload": submission.spec.payload,
            "steps": [_compact(step, Step._field_defaults) for step in submission.spec.steps],
            "times": submission.spec[2:],
        }
    )


def decode_submission(job: str, value: bytes) -> Submission:
    """Decodes a submission.

    :raises ValueError: The value is not an encoded submission.
    """
    try:
        data = load(value)
        queue = data["queue"]
        if queue.get("advice"):
            queue["advice"] = AdviceTerms(*queue["advice"])
        steps = tuple(_step(step) for step in data["steps"])
        spec = JobSpec(_text(data["payload"]), steps, *data["times"])
        total = sum(step.count for step in steps) * spec.occurrences
        if not max(total, len(steps) * spec.occurrences) <= MAX_TASKS:
            raise ValueError("it has too many tasks")
        return Submission(job, _text(data["team"]), Queue(**queue), spec)
    except DECODE_ERRORS as error:
        raise ValueError(f"submission of {job}: {describe(error)}") from None


def claim_key(claim: Claim) -> str:
    return f"{CLAIM}{claim.epoch}/{claim.instance}"


def encode_claim(claim: Claim) -> bytes:
    return dump(claim._asdict())


def decode_claim(value: bytes) -> Claim:
    """Decodes a claim.

    :raises ValueError: The value is not an encoded claim.
    """
    try:
        claim = Claim(**load(value))
        _check_numbers(claim.epoch, whole=True)
        return claim._replace(instance=_text(claim.instance), address=_text(claim.address))
    except TypeError as error:
        raise ValueError(f"claim: {describe(error)}") from None


def encode_instance(entry: InstanceEntry) -> bytes:
    return dump(entry._asdict())


def decode_instance(value: bytes) -> InstanceEntry:
    """Decodes an instance's entry.

    :raises ValueError: The value is not an encoded entry.
    """
    try:
        entry = InstanceEntry(**load(value))
        _check_numbers(entry.started, entry.cores)
        return entry._replace(address=_text(entry.address))
    except TypeError as error:
        raise ValueError(f"instance: {describe(error)}") from None


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    return dump(heartbeat._asdict())


def decode_heartbeat(value: bytes) -> Heartbeat | None:
    """Decodes a heartbeat; None if it names no horizon, as that of an earlier version."""
    try:
        heartbeat = Heartbeat(**load(value))
        _check_numbers(*heartbeat, whole=True)
        return heartbeat
    except (TypeError, ValueError):
        return None


def encode_epoch(epoch: int) -> bytes:
    return dump({"epoch": epoch})


def decode_epoch(value: bytes) -> int:
    """Decodes the epoch of a settled owner, or of a target's first one; 0 if it is malformed."""
    try:
        epoch = load(value)["epoch"]
        _check_numbers(epoch, whole=True)
        return epoch
    except (*DECODE_ERRORS, ValueError):
        return 0


def encode_progress(progress: Progress) -> bytes:
    """Encodes a job's progress in at most ``MAX_PROGRESS_BYTES``, as far as checkpoints allow it.

    The log refuses a larger record, and with it all later ones. Checkpoints that don't fit are left
    out, the longest first: another owner starts their tasks from the beginning.
    """
    own = {_step_name(key): task.checkpoints for key, task in progress.steps.items()}
    if all(len(set(texts.values())) == len(texts) for texts in own.values()):
        encoded = dump(_progress_fields(progress, own, {}))
        if len(encoded) <= MAX_PROGRESS_BYTES:
            return encoded
    return _encode_shared(progress, own)


def _encode_shared(progress: Progress, checkpoints: dict[str, dict[int, str]]) -> bytes:
    """Encodes a job's progress with each checkpoint once, as far as they fit.

    :param checkpoints: Checkpoints by the name of the step and the index of the task.
    """
    groups = [
        (name, text, indices)
        for name, texts in checkpoints.items()
        for text, indices in _indices_by_text(texts).items()
    ]
    groups.sort(key=lambda group: len(group[1]))
    own: dict[str, dict[int, str]] = {}
    common: dict[str, list[tuple[str, list[list[int]]]]] = {}
    left = MAX_PROGRESS_BYTES - len(dump(_progress_fields(progress, {}, {})))
    for name, text, indices in groups:
        left -= _checkpoint_bytes(name, text, indices)
        if left < 0:
            break
        if len(indices) > 1:
            common.setdefault(name, []).append((text, _to_ranges(tuple(indices))))
        else:
            own.setdefault(name, {})[indices[0]] = text
    return dump(_progress_fields(progress, own, common))


def _progress_fields(
    progress: Progress,
    own: dict[str, dict[int, str]],
    common: dict[str, list[tuple[str, list[list[int]]]]],
) -> dict[str, Any]:
    """Returns the fields of a job's progress.

    :param own: Checkpoints of single tasks, by the name of the step and the index of the task.
    :param common: Checkpoints of several tasks, with the ranges of their indices.
    """
    steps = {
        (name := _step_name(key)): [
            _to_ranges(task.done),
            task.failures,
            own.get(name, {}),
            task.last_run,
        ]
        for key, task in progress.steps.items()
    }
    data = {"begun": progress.begun, "outcome": progress.outcome, "steps": steps}
    # Fields of their own: instances of earlier versions expect four values for each step.
    crashes = {
        _step_name(key): task.crashes for key, task in progress.steps.items() if task.crashes
    }
    optional = {"crashes": crashes, "common_checkpoints": common}
    return data | {name: value for name, value in optional.items() if value}


def _step_name(key: tuple[int, int]) -> str:
    return f"{key[0]}.{key[1]}"


def _indices_by_text(checkpoints: dict[int, str]) -> dict[str, list[int]]:
    """Groups tasks by their checkpoints: all members of a gang have the same one."""
    groups: dict[str, list[int]] = {}
    for index, text in checkpoints.items():
        groups.setdefault(text, []).append(index)
    return groups


def _checkpoint_bytes(name: str, text: str, indices: list[int]) -> int:
    """Returns at least the size of an encoded checkpoint."""
    return len(dump([name, text, _to_ranges(tuple(indices))])) + CHECKPOINT_FRAME_BYTES


def decode_progress(value: bytes) -> Progress:
    """Decodes a job's progress.

    :raises ValueError: The value is not an encoded progress.
    """
    try:
        data = load(value)
        steps = {}
        crashes = data.get("crashes", {})
        common = data.get("common_checkpoints", {})
        for name, (done, failures, checkpoints, last_run) in data["steps"].items():
            occurrence, step = name.split(".")
            shared = {
                index: _text(text)
                for text, ranges in common.get(name, ())
                for index in _from_ranges(ranges)
            }
            steps[int(occurrence), int(step)] = TaskProgress(
                _from_ranges(done),
                {int(index): tuple(runs) for index, runs in failures.items()},
                shared | {int(index): text for index, text in checkpoints.items()},
                last_run,
                {
                    int(index): tuple(Crash(*each) for each in rows)
                    for index, rows in crashes.get(name, {}).items()
                },
            )
        return Progress(data["begun"], data["outcome"], steps)
    except DECODE_ERRORS as error:
        raise ValueError(f"progress: {describe(error)}") from None


def outcome_of(value: bytes) -> tuple[bool, str]:
    """Returns whether a job has begun, and its outcome, which is empty until the job has ended.

    :param value: Encoded progress.
    """
    data = load(value)
    return data["begun"], data["outcome"]


def decode_target(value: str) -> tuple[str, str, int]:
    """Decodes address, pool and start time, in Unix milliseconds, of a target in use.

    :raises ValueError: The value is not the record of a target.
    """
    try:
        address, pool, started_at_ms = load(value)
        _check_numbers(started_at_ms, whole=True)
        split_address(_text(address))
        return address, _text(pool), started_at_ms
    except TypeError as error:
        raise ValueError(f"target: {describe(error)}") from None


def _check_numbers(*values: Any, whole: bool = False) -> None:
    """Raises an error if a value is not a number in the range of records."""
    for value in values:
        if isinstance(value, bool) or not isinstance(value, int if whole else int | float):
            raise TypeError(f"a number is a {type(value).__name__}")
        if not 0 <= value <= MAX_NUMBER:  # NaN is in no range.
            raise ValueError("a number is negative or too large")


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"a text is a {type(value).__name__}")
    return value


def _compact(value: NamedTuple, defaults: dict[str, Any]) -> dict[str, Any]:
    fields = value._asdict()
    return {name: item for name, item in fields.items() if item != defaults.get(name, _MISSING)}


_MISSING = object()


def _step(fields: dict[str, Any]) -> Step:
    fields["need"] = Resources(*fields["need"])
    fields["depends_on"] = tuple(fields.get("depends_on", ()))
    step = Step(**fields)
    _check_numbers(step.count, *step.need, *step.depends_on, step.max_per_target, whole=True)
    _check_numbers(step.estimate_ms, step.target_ms)
    return step


def _to_ranges(indices: tuple[int, ...]) -> list[list[int]]:
    ranges: list[list[int]] = []
    for index in sorted(indices):
        if ranges and ranges[-1][1] == index - 1:
            ranges[-1][1] = index
        else:
            ranges.append([index, index])
    return ranges


def _from_ranges(ranges: list[list[int]]) -> tuple[int, ...]:
    for first, last in ranges:
        _check_numbers(first, last, whole=True)
        if last > MAX_TASKS:
            raise ValueError("a task's index is too large")
    return tuple(index for first, last in ranges for index in range(first, last + 1))
