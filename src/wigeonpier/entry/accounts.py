"""Finds the customer of a bearer key."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonpier.errors import ErrorKind, Refusal
from wigeonpier.settings.deployment import hash_key

if TYPE_CHECKING:
    from wigeonpier.settings.deployment import Deployment
    from wigeonpier.web.messages import Request, Response
    from wigeonpier.web.server import Handler

SCHEME = 'Bearer '
CALLER_PATHS = ('/v1/', '/services/')


@dataclass(slots=True)
class KeyRing:
    """Customers by the hash of each key in force.

    :param customers: names by hash.
    """

    customers: dict[str, str] = field(default_factory=dict)

    def load(self, deployment: Deployment) -> None:
        """Take the keys of a configuration.

        :param deployment: comes into force.
        """
        self.customers = {
            key_hash: name
            for name, customer in deployment.customers.items()
            for key_hash in customer.key_hashes
        }

    def require_key(self, request: Request, following: Handler) -> Response:
        """Let only known customers through.

        :param request: the caller's.
        :param following: the next handler.
        :returns: its answer.
        :raises Refusal: when no key in force is shown.
        """
        if request.path.startswith(CALLER_PATHS):
            request.customer = self._find(request)
        return following(request)

    def _find(self, request: Request) -> str:
        shown = request.headers.get('authorization', '')
        customer = self.customers.get(hash_key(shown.removeprefix(SCHEME)))
        if customer is None or not shown.startswith(SCHEME):
            raise Refusal(
                ErrorKind.unauthenticated,
                'expected a key in force as "Authorization: Bearer KEY"',
            )
        return customer
