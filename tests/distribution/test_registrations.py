"""The verdict on a subscribing agent, from the registrations that a replica has applied."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.distribution.publisher import PublisherCore
from jasperwalk.distribution.publisher_events import CloseSubscriber, PublisherConfig
from jasperwalk.distribution.registrations import Registrations, RegistrationVerdict
from jasperwalk.messages.distribution import Subscribe, SubscriberRole

ADDRESS = Endpoint("127.0.3.1", 7000)
REVISION = 20

CASES = {
    # boot ID, revision and incarnation of the agent; registered incarnation; verdict
    "registered": ("known", 20, 2, 2, RegistrationVerdict.REGISTERED),
    "first start": ("new", 0, 0, None, RegistrationVerdict.NEW),
    "another start": ("new", 0, 0, 2, RegistrationVerdict.NEW),
    "replaced while it was suspended": ("old", 20, 1, 2, RegistrationVerdict.REPLACED),
    "replica behind the agent's table": ("old", 21, 1, 2, RegistrationVerdict.UNKNOWN),
    "replica behind the agent's registration": ("new", 20, 3, 2, RegistrationVerdict.UNKNOWN),
}


@pytest.mark.parametrize("case", CASES)
def test_verdict(case):
    boot_id, revision, incarnation, registered, expected = CASES[case]
    registrations = Registrations()
    if registered is not None:
        registrations.register(ADDRESS, "known", registered)
    subscribe = Subscribe(
        name="urednik-1",
        role=SubscriberRole.AGENT,
        zone="dvorana-a",
        address=ADDRESS,
        boot_id=boot_id,
        revision=revision,
        incarnation=incarnation,
    )
    assert registrations.verdict_for(subscribe, REVISION) is expected


@pytest.mark.parametrize("incarnation", [0, 2])
def test_a_replica_that_catches_up_does_not_refuse_the_newest_process(builders, incarnation):
    core = PublisherCore(VersionedTable(), PublisherConfig())
    core.tick(0.0, 0.0)
    newest = builders.subscribe(
        SubscriberRole.AGENT, ADDRESS, boot_id="new", incarnation=incarnation
    )
    core.subscriber_opened(1, newest, 0.0)
    # The log has the registration of the former process first.
    assert not [
        effect
        for effect in core.agent_registered(ADDRESS, "old", 1, 0.1)
        if isinstance(effect, CloseSubscriber)
    ]
    core.agent_registered(ADDRESS, "new", 2, 0.2)
    assert [link.incarnation for link in core.links()] == [2]
