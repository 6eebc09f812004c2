"""Define the Prometheus metrics of the process."""

from prometheus_client import Counter, Gauge, Histogram

REFUSALS = Counter(
    'monsoonwall_refusals_total',
    'Requests refused, by reason and what is known of their effect.',
    ('reason', 'effect'),
)
RETRIES = Counter(
    'monsoonwall_retries_total',
    'Attempts made again, by how the one before ended.',
    ('ending',),
)
ATTEMPTS = Counter(
    'monsoonwall_attempts_total',
    'Attempts at backend servers, by how they ended.',
    ('service', 'version', 'ending'),
)
REQUESTS = Counter(
    'monsoonwall_requests_total',
    'Requests accepted, by workspace and route.',
    ('workspace', 'route'),
)
DROPPED_CHUNKS = Counter(
    'monsoonwall_dropped_chunks_total',
    'Chunks not taken into an answer, by reason.',
    ('reason',),
)
TOKENS = Counter(
    'monsoonwall_tokens_total', 'Tokens relayed to callers.', ('service',)
)
MOVE_SHARE = Gauge(
    'monsoonwall_move_share',
    'Part of the requests that a move gives to its new version.',
    ('move',),
)
MOVE_CONCLUSIONS = Counter(
    'monsoonwall_move_conclusions_total',
    'Moves that this host saw end, by how.',
    ('phase',),
)
FIRST_TOKEN = Histogram(
    'monsoonwall_first_token_seconds',
    'Time from a request to its first token.',
    ('route',),
    buckets=(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.44, 0.7, 1, 2, 5),
)
PLATFORM_CALLS = Counter(
    'monsoonwall_platform_calls_total',
    'Calls to the platform, by what for and how they ended.',
    ('reason', 'ending'),
)
MESH_BYTES = Counter(
    'monsoonwall_mesh_bytes_total',
    'Bytes exchanged with other entry hosts.',
    ('direction',),
)
MESH_MESSAGES = Counter(
    'monsoonwall_mesh_messages_total',
    'Messages exchanged with other entry hosts, and those that failed.',
    ('direction', 'message'),
)
LEASES = Counter(
    'monsoonwall_leases_total',
    'Leases of control work taken and lost by this host.',
    ('change',),
)
ENGINE_ORDERS = Counter(
    'monsoonwall_orders_total',
    'Orders to model engines, by kind and how they ended.',
    ('kind', 'ending'),
)
MESH_PEERS = Gauge('monsoonwall_mesh_peers', 'Other entry hosts thought alive.')
CONFIGURATION_NUMBER = Gauge(
    'monsoonwall_configuration_number', 'Number of the one in force.'
)
CONFIGURATION_OFFERS = Counter(
    'monsoonwall_configuration_offers_total',
    'Configurations offered to this host, by source and what became of them.',
    ('source', 'verdict'),
)
PATCHES = Counter(
    'monsoonwall_patches_total', 'Patches submitted here.', ('ending',)
)
RUNNING_REQUESTS = Gauge(
    'monsoonwall_running_requests', 'Requests accepted and not ended.'
)
CLAIM_COMMITS = Counter(
    'monsoonwall_claim_commits_total',
    'Writes of claim journals, by how they ended.',
    ('ending',),
)
CLAIMS = Counter(
    'monsoonwall_claims_total',
    'Claims asked for, by verdict.',
    ('verdict',),
)
ADMISSION_VERDICTS = Counter(
    'monsoonwall_entry_verdicts_total',
    'Calls that asked to enter, by service and verdict.',
    ('service', 'verdict'),
)
RETRY_VERDICTS = Counter(
    'monsoonwall_retry_verdicts_total',
    'Decisions on failed attempts, by how they ended and the verdict.',
    ('ending', 'verdict'),
)
SCREENED_REQUESTS = Counter(
    'monsoonwall_screened_requests_total',
    'Requests screened for crashes, by judgement.',
    ('judgement',),
)
BROKEN_ATTEMPTS = Counter(
    'monsoonwall_broken_attempts_total',
    'Broken attempts looked into, by what the backend server did.',
    ('finding',),
)
LEAVING_SERVERS = Gauge(
    'monsoonwall_leaving_backend_servers',
    'Backend servers that get no new work because they are leaving.',
)
STREAM_MOVES = Counter(
    'monsoonwall_stream_moves_total',
    'Streams moved off leaving backend servers, by how.',
    ('kind',),
)
REQUEST_COPIES = Counter(
    'monsoonwall_request_copies_total',
    'Copies of accepted requests on other entry hosts, by how it ended.',
    ('ending',),
)
TAKEOVERS = Counter(
    'monsoonwall_takeovers_total',
    'Requests taken over from another entry host, by why.',
    ('reason',),
)
ABANDONED_REQUESTS = Counter(
    'monsoonwall_abandoned_requests_total',
    'Requests whose generation was paused since no caller followed.',
)
GATEWAY_CHANNELS = Counter(
    'monsoonwall_gateway_channels_total',
    'Channels to servers taken for a request, by whether they were open.',
    ('source',),
)
GATEWAY_REQUESTS = Counter(
    'monsoonwall_gateway_requests_total',
    'Requests ended by the gateway, by route kind, ending and reason.',
    ('kind', 'ending', 'reason'),
)
GATEWAY_ATTEMPTS = Counter(
    'monsoonwall_gateway_attempts_total',
    'Sendings to servers, by how they ended.',
    ('ending',),
)
GATEWAY_FIRST_EVENT = Histogram(
    'monsoonwall_gateway_first_event_seconds',
    'Time from a request to its answer, of streams to the first event.',
    ('kind',),
    buckets=(0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 15),
)
GATEWAY_RETRY_DECISIONS = Counter(
    'monsoonwall_gateway_repeats_total',
    'Decisions to send a request once more, by verdict.',
    ('verdict',),
)
GATEWAY_RETRY_BUDGET_LEFT = Gauge(
    'monsoonwall_gateway_repeats_left',
    'Repetitions that this host may still send, as of the last decision.',
    ('service',),
)
INTAKE_BYTES = Gauge(
    'monsoonwall_intake_bytes',
    'Bytes held of callers when memory was last scarce.',
)
INTAKE_CLOSED = Counter(
    'monsoonwall_intake_closed_total',
    'Channels of clients outside the limits that were closed, by reason.',
    ('reason',),
)
GATEWAY_EVACUATED_ZONES = Gauge(
    'monsoonwall_gateway_evacuated_zones',
    "Zones whose servers get no requests at an operator's order.",
)
GATEWAY_COLD_SERVERS = Gauge(
    'monsoonwall_gateway_cold_servers',
    'Servers that get few requests because they have just started.',
)
GATEWAY_REVISION = Gauge(
    'monsoonwall_gateway_revision',
    'Revision last adopted, by kind of record.',
    ('kind',),
)
GATEWAY_STORE_LAST_RESPONSE = Gauge(
    'monsoonwall_gateway_store_heard_timestamp_seconds',
    'Unix time at which the store last answered, by kind of record.',
    ('kind',),
)
GATEWAY_RECORD_AGE = Histogram(
    'monsoonwall_gateway_record_age_seconds',
    'Time since the records were last confirmed, before each confirmation by '
    'the store itself, by kind of record.',
    ('kind',),
    buckets=(0.1, 0.25, 0.5, 1, 1.5, 2, 2.5, 3, 4, 6, 10),
)
GATEWAY_SENDING_RECORD_AGE = Histogram(
    'monsoonwall_gateway_sending_record_age_seconds',
    'Time since the records of servers were last confirmed, whenever a '
    'request is sent to a server.',
    buckets=(0.1, 0.25, 0.5, 1, 1.5, 2, 2.5, 3, 4, 6, 10),
)
GATEWAY_DEPARTURE_DELAY = Histogram(
    'monsoonwall_gateway_departure_delay_seconds',
    'Longest time that may have passed until this host knew that a server is '
    'leaving or gone.',
    buckets=(0.1, 0.25, 0.5, 1, 1.5, 2, 2.5, 3, 4, 6, 10),
)
GATEWAY_UNSENT_REQUESTS = Counter(
    'monsoonwall_gateway_unsent_requests_total',
    'Attempts that were not sent because their server had left since it was '
    'chosen.',
)
GATEWAY_REPORTING_HOSTS = Gauge(
    'monsoonwall_gateway_hosts_heard',
    'Other hosts whose grants are known, with those of summed-up zones.',
)
MALFORMED_ENTRIES = Counter(
    'monsoonwall_malformed_entries_total',
    'Objects of the store that were skipped, because they cannot be decoded.',
)
TASK_FAILURES = Counter(
    'monsoonwall_task_failures_total',
    'Failures of background tasks, which are started again, by task.',
    ('task',),
)
GATEWAY_UNKNOWN_WINDOWS = Counter(
    'monsoonwall_gateway_unknown_usage_windows_total',
    'Windows whose usage is not reported, because no known host observed them.',
)
GATEWAY_DUTY_CALLS = Counter(
    'monsoonwall_gateway_duty_calls_total',
    'Calls of duties to the platform, by duty and how they ended.',
    ('duty', 'ending'),
)
