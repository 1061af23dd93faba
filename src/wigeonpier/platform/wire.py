"""Names of the platform's headers, paths, query parameters and keys.

Code outside this folder uses the constants and not the strings.
"""

from __future__ import annotations

REQUEST_ID = 'X-Attempt-Id'
DEADLINE_MS = 'X-Deadline-Ms'
# Parts of a prompt, shared ones first, as ID:TOKENS.
PROMPT_PARTS = 'X-Prompt-Prefix'
# Signature by which the upstream proves that the answer is its own.
SIGNATURE = 'X-Response-Signature'
EXPECTED_INSTANCE = 'X-Expect-Instance'
INSTANCE = 'X-Instance-Id'
# Running and waiting requests and slots, separated by commas.
LOAD = 'X-Server-Load'
NOT_RUN = 'X-Not-Executed'
# Key of the caller; the entry does not forward it.
KEY_HEADER = 'X-Key'
# The platform calls a customer a tenant.
CUSTOMER = 'X-Tenant'
RETRY_AFTER = 'Retry-After'
RESUME_AFTER = 'Last-Event-Id'
# Attempt of the caller that received the first event of a resumed stream.
RESUMES = 'Resumes'
# Longest time that a call may wait.
WAIT_MS = 'X-Wait-Ms'

READY_PATH = '/-/ready'
REPORT_PATH = '/-/report'
# The platform calls a batch job a lot on these paths.
JOB_PATH = '/-/lots/'
ITEM_PATH = '/-/items/'

KEY_PATH = '/-/kv-key'
RANGE_PATH = '/-/kv-range'
WATCH_PATH = '/-/kv-watch'
COMMIT_PATH = '/-/kv-txn'
LEASE_PATH = '/-/kv-lease'
RENEW_PATH = '/-/kv-keep/'
REVOKE_PATH = '/-/kv-lease-end/'

# Query parameters of these calls.  ``after`` is a key for pages and a revision
# for watches.
KEY = 'key'
PREFIX = 'pathPrefix'
AFTER = 'after'
WATCH_WAIT_MS = 'waitMs'
# A read that may return old values costs a tenth of another one.
ALLOW_STALE = 'allowStale'

OPERATOR_CONFIGURATION = 'op/config'
RETIRE_ORDERS = 'op/retire/'
RETIRE_STATES = 'status/retire/'
REGISTER = 'servers/'
