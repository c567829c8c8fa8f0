"""Load profiles: rate and mix of requests for each service, and the shape of its flows."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

Share = Annotated[float, Field(ge=0)]
Positive = Annotated[float, Field(gt=0)]


class ServiceLoad(BaseModel):
    """Load of one service: requests a second, the mix as relative shares, and open flows."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    service: str
    requests_per_second: Positive
    flows: Annotated[int, Field(ge=1, le=5000)] = 60
    lookups: Share = 0.0
    submissions: Share = 0.0
    downloads: Share = 0.0
    streams: Share = 0.0

    @model_validator(mode="after")
    def _check_mix(self) -> ServiceLoad:
        if self.lookups + self.submissions + self.downloads + self.streams <= 0:
            raise ValueError("the mix has no share above 0")
        return self


class LoadProfile(BaseModel):
    """A complete load. Flows live `flow_seconds` on average, exponentially distributed."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    services: Annotated[tuple[ServiceLoad, ...], Field(min_length=1)]
    seconds: Positive = 20.0
    zipf_exponent: Share = 0.6
    flow_seconds: Positive = 15.0
    ping_seconds: Positive | None = None
    """Time between two PINGs on an open flow; None for callers that send none."""
    most_outstanding: Annotated[int, Field(ge=1)] = 2000
    call_timeout_seconds: Positive = 10.0
    stream_seconds: Positive = 5.0
    stream_interval_ms: Positive = 200.0
    download_bytes: tuple[int, int] = (1_000, 40_000)
    submission_bytes: tuple[int, int] = (10, 4_000)

    def scaled(self, factor: float) -> LoadProfile:
        """Return the same load with every rate multiplied by `factor`."""
        services = tuple(
            each.model_copy(update={"requests_per_second": each.requests_per_second * factor})
            for each in self.services
        )
        return self.model_copy(update={"services": services})


PROFILES = {
    # Proof views stay open for long and send submissions; prints are downloaded.
    "zagreb": LoadProfile(
        services=(
            ServiceLoad(
                service="urednik",
                requests_per_second=60.0,
                lookups=0.55,
                submissions=0.25,
                streams=0.2,
            ),
            ServiceLoad(service="probni-otisak", requests_per_second=25.0, flows=30, downloads=1.0),
        ),
    ),
    # Suggestions and fuzzy matches are many lookups; packages are downloaded.
    "hanoi": LoadProfile(
        services=(
            ServiceLoad(
                service="segment-svc", requests_per_second=80.0, lookups=0.9, submissions=0.1
            ),
            ServiceLoad(
                service="export-svc",
                requests_per_second=35.0,
                flows=30,
                downloads=0.85,
                streams=0.15,
            ),
        ),
    ),
}
"""The profile of each example."""
