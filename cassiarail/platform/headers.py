"""Define the names of the platform's headers."""

REQUEST_ID = b'x-cassiarail-request-id'
DEADLINE_MS = b'x-cassiarail-deadline-ms'
MODEL = b'x-cassiarail-model'
TOKEN_COUNT = b'x-cassiarail-token-count'
PROMPT_PREFIX = b'x-cassiarail-prompt-prefix'
LENGTH_HINT = b'x-cassiarail-length-hint'
AUTHORIZATION = b'authorization'
TENANT = b'x-cassiarail-tenant'
EXPECT_INSTANCE = b'x-cassiarail-expect-instance'
PRIORITY = b'x-cassiarail-req-priority'
LAST_EVENT_ID = b'last-event-id'

# Set by engines.
NOT_RUN = b'x-cassiarail-not-run'
SERVER_STAMP = b'x-cassiarail-server-stamp'
SERVER_LOAD = b'x-cassiarail-server-load'
SERVER_LEAVING = b'server-leaving'
RETRY_AFTER = b'retry-after'

# Only the system sets these headers; they are dropped from clients' requests.
RESERVED = frozenset(
    (
        DEADLINE_MS,
        EXPECT_INSTANCE,
        PRIORITY,
        TENANT,
        b'x-cassiarail-expect-version',
        b'x-cassiarail-hold',
        b'x-cassiarail-pin-ms',
        b'x-cassiarail-kv-backup',
        b'kv-from',
        b'kv-fetch',
        b'wait-ms',
    ),
)
