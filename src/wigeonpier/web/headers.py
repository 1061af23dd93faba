"""Header names that the system reads and writes, in lower case."""

from __future__ import annotations

REQUEST_ID = 'wigeonpier-request'
IDEMPOTENT = 'wigeonpier-idempotent'
IDEMPOTENCY_KEY = 'idempotency-key'
PEER_KEY = 'wigeonpier-peer-key'
CUSTOMER = 'wigeonpier-customer'
DEADLINE_MS = 'wigeonpier-deadline-ms'
# Fingerprint of the original content, sent with a resumed request.
FINGERPRINT = 'wigeonpier-fingerprint'
DELIVERED = 'wigeonpier-delivered-tokens'
