"""Composition root of the process on a VM with a disk."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from wigeonpier.hosted.dealer import ItemReassigner
from wigeonpier.hosted.diskhomes import DiskHomes
from wigeonpier.hosted.following import FollowedJobs
from wigeonpier.hosted.intake import Intake
from wigeonpier.hosted.janitor import Janitor
from wigeonpier.hosted.ledger import JobLedger
from wigeonpier.hosted.membership import Membership
from wigeonpier.hosted.quarantine.replica import QuarantineReplica
from wigeonpier.hosted.readings import ReadingHandler
from wigeonpier.hosted.retire import RetireHandler
from wigeonpier.hosted.views import JobViews
from wigeonpier.models import DiskMember
from wigeonpier.platform import storekeys
from wigeonpier.settings.process import split_address
from wigeonpier.web.server import Server, dispatch_to

if TYPE_CHECKING:
    from wigeonpier.hosted.common import DaemonContext


class StorageApp:
    """The process on a VM with a disk.

    It keeps accepted jobs and refused requests during a store outage, serves
    the results of jobs to entries, reassigns the items of lost processes,
    removes old jobs, and empties its disk before the VM is retired.
    """

    def __init__(self, context: DaemonContext) -> None:
        """Create the components without starting them."""
        settings = context.settings
        ledger = JobLedger(context.store)
        self._context = context
        view = partial(context.view, is_decisive=_is_never)
        self._intake = Intake(settings.data_folder, ledger, context.rng)
        context.metrics.add_gauge('jobs_rejected', self._intake.count_rejected)
        self._quarantine = QuarantineReplica(
            settings.data_folder,
            context.store,
            context.store_health.wait,
        )
        self._reassigner = ItemReassigner(
            ledger,
            view,
            context.store_health,
            context.rng,
        )
        self._janitor = Janitor(
            ledger,
            settings.bounds.job_readable,
            context.rng,
        )
        member = DiskMember(settings.name, settings.peers)
        self._homes = DiskHomes(
            context.store, member, settings.bounds.job_readable
        )
        self._reassigner.on_board = self._homes.observe
        self._disk = Membership(
            context.store,
            storekeys.name_key(storekeys.DISKS, settings.name),
            member,
            context.store_health.wait,
            self._homes.register,
        )
        self._retire = RetireHandler(
            settings.name,
            ledger,
            self._intake,
            self._disk,
            self._homes,
            view,
        )
        readings = ReadingHandler(
            FollowedJobs(
                JobViews(ledger, None),
                context.store_health,
                context.store.plan.decisive,
            ),
            context.store_health,
        )
        self._server = Server(
            *split_address(settings.peers),
            dispatch_to(
                self._intake.make_routes()
                + self._quarantine.make_routes()
                + readings.make_routes(),
            ),
        )

    def start(self) -> str:
        """Start listening, and follow the members and operator requests.

        :returns: address for entries.
        """
        self._context.serve_metrics()
        self._server.start()
        self._disk.is_wanted = True
        self._disk.start()
        self._intake.start()
        self._quarantine.start()
        self._retire.start()
        self._reassigner.start()
        self._janitor.start()
        return self._server.address

    def leave(self, seconds: float) -> int:
        """Accept no more jobs; those accepted so far stay on the disk.

        :param seconds: longest time to drain.
        :returns: number of requests still in flight.
        """
        self._intake.is_closed = True
        self._disk.leave()
        return self._server.drain(seconds)


def _is_never() -> bool:
    """Return false: nothing is started by orders and members directly."""
    return False
