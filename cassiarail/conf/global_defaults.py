"""Define the defaults of the optional settings.

Durations are seconds and sizes are bytes.
"""

LOG_LEVEL = 'info'
TRACE_FILE = ''
TRACE_OTLP_ENDPOINT = ''
TRACE_SAMPLE_SHARE = 0.01

CALLER_BODY_MAX_BYTES = 1_048_576
CALLER_HEADERS_MAX_BYTES = 16_384
CALLER_BODY_TIMEOUT_S = 10.0
CALLER_KEEP_ALIVE_S = 30.0
DRAIN_TIMEOUT_S = 60.0

STORE_TIMEOUT_S = 2.0
TARGET_CONNECT_TIMEOUT_S = 0.5
# A sixth of the memory of the smallest hosts, which is 200 MB.
RESPONSE_MEMORY_BYTES = 33_554_432
CLIENT_MEMORY_BYTES = 33_554_432
# Most hosts have 4,100 descriptors or more, of which targets, peers, the store,
# logs and the other listeners use the rest. The edge has a setting for others.
CALLER_CONNECTIONS_MAX = 3000
# What one connection may send ahead, and leave unread before its next request
# is handled.
CALLER_AHEAD_BYTES = 16_384
CALLER_UNREAD_BYTES = 16_384
# Listeners for readiness, metrics and operators: their requests have no body or
# a short one, and a few clients send them.
STATUS_BODY_MAX_BYTES = 16_384
STATUS_MEMORY_BYTES = 1_048_576
STATUS_CONNECTIONS_MAX = 128
PEER_TIMEOUT_S = 1.0
# Digests and configurations of 380 nodes are far below; they are compressed.
PEER_MESSAGE_MAX_BYTES = 1_048_576
PEER_MEMORY_BYTES = 4_194_304
# Above the nodes of the largest fleet (380) and their gateways.
PEER_CONNECTIONS_MAX = 1024
# A node has one call of each kind in progress: four, and their repetitions.
PEER_STREAMS_MAX = 12

HEARTBEAT_INTERVAL_S = 1.0
LEASE_DURATION_S = 6.0
PLANNING_INTERVAL_S = 5.0
CONFIGURATION_REREAD_S = 60.0
