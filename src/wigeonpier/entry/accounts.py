"""Authenticates customers by their bearer keys."""

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
CUSTOMER_PATHS = ('/v1/', '/services/')


@dataclass(slots=True)
class KeyRing:
    """The customers and the hashes of their keys in force.

    :param customers: customer names by key hash.
    """

    customers: dict[str, str] = field(default_factory=dict)

    def load(self, deployment: Deployment) -> None:
        """Replace the keys by those of a configuration.

        :param deployment: the configuration that comes into force.
        """
        self.customers = {
            key_hash: name
            for name, customer in deployment.customers.items()
            for key_hash in customer.key_hashes
        }

    def require_key(self, request: Request, next_handler: Handler) -> Response:
        """Find the customer of a request, on paths that need one.

        :param request: the caller's request.
        :param next_handler: the next handler.
        :returns: its answer.
        :raises Refusal: when the request has no key in force.
        """
        if request.path.startswith(CUSTOMER_PATHS):
            request.customer = self._find(request)
        return next_handler(request)

    def _find(self, request: Request) -> str:
        header = request.headers.get('authorization', '')
        customer = self.customers.get(hash_key(header.removeprefix(SCHEME)))
        if customer is None or not header.startswith(SCHEME):
            raise Refusal(
                ErrorKind.unauthenticated,
                'expected a key in force as "Authorization: Bearer KEY"',
            )
        return customer
