"""Define the log events of the edge host."""

from absl import logging

from cassiarail.core.events import define_event

REQUEST_ENDED = define_event(
    number=2101, level=logging.INFO, summary='request ended'
)
ATTEMPT_FAILED = define_event(
    number=2102,
    level=logging.INFO,
    summary='attempt failed',
)
REQUEST_REFUSED = define_event(
    number=2103, level=logging.INFO, summary='request refused as not run'
)
REQUEST_UNREADABLE = define_event(
    number=2104,
    level=logging.INFO,
    summary='request could not be read',
)
REQUEST_CRASHED = define_event(
    number=2105,
    level=logging.ERROR,
    summary='request failed with an internal error of this host',
)
TARGET_EJECTED = define_event(
    number=2110,
    level=logging.WARNING,
    summary='target is ejected after repeated failures',
)
REQUEST_QUARANTINED = define_event(
    number=2111,
    level=logging.WARNING,
    summary='request is refused; targets crashed while running it',
)
TARGET_CRASHED = define_event(
    number=2112,
    level=logging.WARNING,
    summary='target crashed; these parts of prompts had no answer',
)
PARTS_CLEARED = define_event(
    number=2113,
    level=logging.INFO,
    summary='an answer clears parts of prompts of a crash',
)
PARTS_QUARANTINED = define_event(
    number=2114,
    level=logging.WARNING,
    summary='requests with these parts are refused; they crash targets',
)
PARTS_RELEASED = define_event(
    number=2115,
    level=logging.WARNING,
    summary='requests with these parts are accepted again',
)
PROBE_CLAIMED = define_event(
    number=2116,
    level=logging.WARNING,
    summary='one request with quarantined parts is sent as a probe',
)
QUARANTINES_NOT_STORED = define_event(
    number=2117,
    level=logging.WARNING,
    summary='quarantines could not be written to the store; trying again',
)
QUARANTINES_UNREADABLE = define_event(
    number=2118,
    level=logging.ERROR,
    summary='stored quarantines are unreadable and are not used',
)
TARGET_PAUSED = define_event(
    number=2119,
    level=logging.INFO,
    summary='target wants no requests from this host for some seconds',
)
RESPONSE_SKIPPED = define_event(
    number=2120,
    level=logging.INFO,
    summary='response belongs to no request in progress and was skipped',
)
STREAM_RESUMED = define_event(
    number=2121,
    level=logging.INFO,
    summary='stream is resumed at another target',
)
RUN_MAY_GO_ON = define_event(
    number=2122,
    level=logging.WARNING,
    summary='request is not sent elsewhere; its target may still run it',
)
TARGET_ADDED = define_event(
    number=4201, level=logging.INFO, summary='target added'
)
TARGET_LEAVING = define_event(
    number=4202,
    level=logging.INFO,
    summary='target gets no new requests',
)
ENTRY_UNREADABLE = define_event(
    number=4203,
    level=logging.WARNING,
    summary='entry of a target is unreadable and is not used',
)
CONFIGURATION_APPLIED = define_event(
    number=4204, level=logging.INFO, summary='configuration is in force'
)
CONFIGURATION_UNREADABLE = define_event(
    number=4205,
    level=logging.ERROR,
    summary='configuration is unreadable; the earlier one stays in force',
)
LEADERSHIP_STARTED = define_event(
    number=3201,
    level=logging.INFO,
    summary='this host sends orders to engines',
)
LEADERSHIP_ENDED = define_event(
    number=3202,
    level=logging.INFO,
    summary='this host stopped sending orders to engines',
)
ORDER_SENT = define_event(
    number=3203, level=logging.INFO, summary='order sent to an engine'
)
ORDER_FAILED = define_event(
    number=3204,
    level=logging.WARNING,
    summary='order has no usable response; reading the report',
)
REPORT_FAILED = define_event(
    number=3205,
    level=logging.WARNING,
    summary='report of an engine could not be read',
)
PEER_UNREADABLE = define_event(
    number=5201,
    level=logging.WARNING,
    summary='datagram of a peer is unreadable',
)
STATE_UPDATES_CURRENT = define_event(
    number=5205,
    level=logging.INFO,
    summary='state updates of the leader replace the watch of targets',
)
STATE_UPDATES_STALE = define_event(
    number=5206,
    level=logging.INFO,
    summary='state updates stopped or one is missing; watching targets again',
)
PEER_TRAFFIC = define_event(
    number=5207,
    level=logging.INFO,
    summary='high traffic to other hosts in the last second',
)
MEMBERS_LISTED = define_event(
    number=5208,
    level=logging.INFO,
    summary='this host knows the addresses of all hosts',
)
EVENT_LOOP_LATE = define_event(
    number=1206,
    level=logging.WARNING,
    summary='event loop was late',
)
PROCESS_SUSPENDED = define_event(
    number=1201,
    level=logging.WARNING,
    summary='this process was suspended',
)
DRAIN_STARTED = define_event(
    number=1202,
    level=logging.INFO,
    summary='no longer ready; finishing requests in progress',
)
DRAIN_ENDED = define_event(
    number=1203,
    level=logging.INFO,
    summary='requests in progress have ended or the drain timeout expired',
)
LAST_RESPONSES_SENT = define_event(
    number=1208,
    level=logging.INFO,
    summary='closing connections; responses in progress are lost',
)
SETTINGS_RELOADED = define_event(
    number=1204, level=logging.INFO, summary='settings reloaded'
)
SETTINGS_REJECTED = define_event(
    number=1205,
    level=logging.ERROR,
    summary='settings are unreadable; the earlier ones stay in force',
)
HOST_ENTRY_UNREADABLE = define_event(
    number=5202,
    level=logging.WARNING,
    summary='entry of a host is unreadable and is not used',
)
PEER_UNREACHABLE = define_event(
    number=5203,
    level=logging.WARNING,
    summary='datagram could not be delivered to a peer',
)
HOST_NOT_REGISTERED = define_event(
    number=5204,
    level=logging.WARNING,
    summary='entry of this host could not be written; trying again',
)
RENEWAL_FAILED = define_event(
    number=3206,
    level=logging.WARNING,
    summary='lease could not be acquired or renewed; trying again',
)
CONFIGURATION_COPY_TOO_LONG = define_event(
    number=4206,
    level=logging.WARNING,
    summary='configuration is too long to be sent to hosts without the store',
)
QUOTA_EXCEEDED = define_event(
    number=2130,
    level=logging.WARNING,
    summary='requests of a client account are refused for its quota',
)
QUOTA_KEPT = define_event(
    number=2131,
    level=logging.INFO,
    summary='requests of a client account are no longer refused for its quota',
)
ABANDONED_RESPONSE_LOST = define_event(
    number=2106,
    level=logging.INFO,
    summary='response lost after the caller disconnected; request may have run',
)
