"""Count what the process refuses, retries, drops and sends."""

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
MESH_PEERS = Gauge('monsoonwall_mesh_peers', 'Other entry hosts thought alive.')
CONFIGURATION_NUMBER = Gauge(
    'monsoonwall_configuration_number', 'Number of the one in force.'
)
RUNNING_REQUESTS = Gauge(
    'monsoonwall_running_requests', 'Requests accepted and not ended.'
)
STREAM_MOVES = Counter(
    'monsoonwall_stream_moves_total',
    'Streams moved off leaving backend servers, by how.',
    ('kind',),
)
COPIES = Counter(
    'monsoonwall_request_copies_total',
    'Copies of accepted requests on other entry hosts, by how it ended.',
    ('ending',),
)
TAKEOVERS = Counter(
    'monsoonwall_takeovers_total',
    'Requests taken over from another entry host, by why.',
    ('reason',),
)
ABANDONED = Counter(
    'monsoonwall_abandoned_requests_total',
    'Requests whose generation was paused since no caller followed.',
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
