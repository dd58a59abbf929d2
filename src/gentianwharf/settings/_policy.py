"""Settings of request classes, limits, placement weights, shutdown and logs."""

from enum import StrEnum
from typing import Self

from pydantic import Field, model_validator

from ._mistakes import Mistake, MistakesError
from ._values import Name, StrictModel


class ObjectiveSettings(StrictModel):
    """The objective of a class: a share of answers within a time limit, over 30 days.

    ``unavailable_s`` is the time for which each key may be unavailable in these days.
    """

    limit_ms: int = Field(gt=0)
    share: float = Field(gt=0, lt=1)
    unavailable_s: float = Field(default=60.0, gt=0)


class ClassSettings(StrictModel):
    """A class of requests, with its deadline and its weight under load."""

    name: Name
    deadline_ms: int = Field(gt=0)
    weight: int = Field(default=1, gt=0)
    objective: ObjectiveSettings | None = None

    @model_validator(mode="after")
    def _check_objective(self) -> Self:
        if self.objective is not None and self.objective.limit_ms > self.deadline_ms:
            raise MistakesError(
                [
                    Mistake(
                        location=("objective", "limit_ms"),
                        found=str(self.objective.limit_ms),
                        expected=(
                            f"at most deadline_ms, {self.deadline_ms}: later answers"
                            " are never sent"
                        ),
                    )
                ]
            )
        return self


class WeightSettings(StrictModel):
    """The relative weights of the three measures that shard placement minimizes."""

    imbalance: float = Field(default=1.0, ge=0)
    churn: float = Field(default=1.0, ge=0)
    unavailable_time: float = Field(default=1.0, ge=0)


class ShutdownSettings(StrictModel):
    """The time limits of a planned shutdown.

    ``balancer_notice_s`` is the time for which the balancer may continue to send
    requests after readiness became false. ``drain_limit_s`` limits the entire shutdown,
    including requests in progress.
    """

    balancer_notice_s: float = Field(default=2.0, ge=0)
    drain_limit_s: float = Field(default=75.0, gt=0)


class CallerLimits(StrictModel):
    """The limits on one caller's connection."""

    most_head_bytes: int = Field(default=16_384, ge=1_024, le=262_144)
    most_headers: int = Field(default=100, ge=10, le=1_000)
    idle_timeout_s: float = Field(default=60.0, gt=0)
    stall_timeout_s: float = Field(default=30.0, gt=0)


class LogLevel(StrEnum):
    """The minimum level of messages that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSettings(StrictModel):
    """What is logged; with ``keys``, log lines include callers' keys."""

    level: LogLevel = LogLevel.INFO
    keys: bool = False
