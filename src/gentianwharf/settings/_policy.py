"""Settings of how requests are treated, and of how the daemon stops and logs."""

from enum import StrEnum
from typing import Self

from pydantic import Field, model_validator

from ._mistakes import Mistake, MistakesError
from ._values import Name, StrictModel


class ObjectiveSettings(StrictModel):
    """What a class promises: a share of answers within a limit, over 30 days.

    ``unavailable_s`` is how long any one key may be unavailable in these 30 days.
    """

    limit_ms: int = Field(gt=0)
    share: float = Field(gt=0, lt=1)
    unavailable_s: float = Field(default=60.0, gt=0)


class ClassSettings(StrictModel):
    """A class of requests: how long it may take and how it is weighed."""

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
                            f"at most deadline_ms, {self.deadline_ms}: a later answer"
                            " is never given"
                        ),
                    )
                ]
            )
        return self


class WeightSettings(StrictModel):
    """How the three measures are weighed against each other when shards are placed."""

    imbalance: float = Field(default=1.0, ge=0)
    churn: float = Field(default=1.0, ge=0)
    unavailable_time: float = Field(default=1.0, ge=0)


class ShutdownSettings(StrictModel):
    """A planned stop.

    ``balancer_notice_s`` is how long the balancer may go on sending after readiness
    turned false; ``drain_limit_s`` ends the whole stop, whatever still runs.
    """

    balancer_notice_s: float = Field(default=2.0, ge=0)
    drain_limit_s: float = Field(default=75.0, gt=0)


class CallerLimits(StrictModel):
    """What one caller's connection may take."""

    most_head_bytes: int = Field(default=16_384, ge=1_024, le=262_144)
    most_headers: int = Field(default=100, ge=10, le=1_000)
    idle_timeout_s: float = Field(default=60.0, gt=0)
    stall_timeout_s: float = Field(default=30.0, gt=0)


class LogLevel(StrEnum):
    """The least level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSettings(StrictModel):
    """What is logged; ``keys`` writes callers' keys into the log as well."""

    level: LogLevel = LogLevel.INFO
    keys: bool = False
