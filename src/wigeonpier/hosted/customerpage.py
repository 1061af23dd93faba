"""Serves operators the limits and the usage of customers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wigeonpier.web.messages import Request, Response, answer_json
from wigeonpier.web.server import Route, make_route

if TYPE_CHECKING:
    from wigeonpier.hosted.configuration import ConfigurationWatch
    from wigeonpier.hosted.customeruse import CustomerLimiter
    from wigeonpier.hosted.knowledge import ConfigurationFreshness
    from wigeonpier.served import ServedCustomer

CUSTOMERS_PATH = '/customers'


class LimitRow(msgspec.Struct, frozen=True):
    """Limits and usage of one customer, without its keys.

    :param customer: name of the customer.
    :param rate: allowed requests per second, 0 for no limit.
    :param burst: requests allowed in addition within the quota window.
    :param priority: its priority, ``None`` if that of the route applies.
    :param used: requests at all entries within the quota window.
    :param here: those of them that were admitted by this entry.
    :param refused: requests refused by this entry since its start.
    """

    customer: str
    rate: float
    burst: float
    priority: int | None
    used: float = 0
    here: float = 0
    refused: int = 0


class CustomerOverview(msgspec.Struct, frozen=True):
    """Limits and usage of all customers, as an entry knows them.

    :param version: version of the current configuration, 0 if there is none.
    :param age: seconds since the configuration was last confirmed to be the
        newest, negative if it never was.
    :param counters: number of counters in contact.
    :param customers: a row for each customer.
    """

    version: int
    age: float
    counters: int
    customers: list[LimitRow]


class CustomerPage:
    """Answers operators' requests about customers."""

    def __init__(
        self,
        configuration: ConfigurationWatch,
        freshness: ConfigurationFreshness,
        limiter: CustomerLimiter,
    ) -> None:
        """Create the page.

        :param configuration: current configuration.
        :param freshness: age of that configuration.
        :param limiter: request counts.
        """
        self._configuration = configuration
        self._freshness = freshness
        self._limiter = limiter

    def make_routes(self) -> list[Route]:
        """List the paths for operators.

        :returns: the routes.
        """
        return [make_route('GET', CUSTOMERS_PATH, self._show)]

    def count_refused(self) -> int:
        """Count the requests that were refused because of a limit.

        :returns: number of requests since the start.
        """
        return sum(row.refused for row in self._limiter.list_rows())

    def measure_age(self) -> float:
        """Measure the time since the configuration was last confirmed.

        :returns: seconds, negative if it never was.
        """
        age = self._freshness.measure().age
        return age if age < float('inf') else -1

    def _show(self, _request: Request) -> Response:
        usage = {row.customer: row for row in self._limiter.list_rows()}
        rows = []
        for customer in self._list_customers():
            row = usage.get(customer.name)
            rows.append(
                LimitRow(
                    customer.name,
                    customer.rate,
                    customer.burst,
                    customer.priority,
                    row.used if row else 0,
                    row.here if row else 0,
                    row.refused if row else 0,
                ),
            )
        return answer_json(
            CustomerOverview(
                self._configuration.get_version(),
                round(self.measure_age(), 3),
                self._limiter.count_counters(),
                rows,
            ),
        )

    def _list_customers(self) -> list[ServedCustomer]:
        current = self._configuration.current
        if current is None or current.customers is None:
            return []
        by_key = current.customers
        by_name = {customer.name: customer for customer in by_key.values()}
        return [by_name[name] for name in sorted(by_name)]
