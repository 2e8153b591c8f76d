"""What the parts of the membership service share."""

from __future__ import annotations

import random

import attrs

from cicadacourse.application import Application
from cicadacourse.membership._pauses import PauseDetector
from cicadacourse.membership._records import Records
from cicadacourse.membership._settings import MembershipSettings
from cicadacourse.tasks import Tasks


@attrs.frozen
class Context:
    """What the failure detector and the anti-entropy need of the service.

    :param chooser: chooses members; its seed makes a run repeatable.
    """

    app: Application
    settings: MembershipSettings
    records: Records
    pauses: PauseDetector
    tasks: Tasks
    chooser: random.Random
