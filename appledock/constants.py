"""Constants of the service: timeouts, intervals, limits and thresholds, with units and reasons."""

DISTANT_PAST = -1e9
"""s; time on the monotonic clock that lies before every event, for what never happened."""

# --- Membership -----------------------------------------------------------
CONTROLLER_LEASE_S = 16.0
"""s; lease of a controller. Longer than Kafka's default of 10, because outages of the store
last about 15 s; a crash is noticed without waiting for the lease."""
CONTROLLER_LEASE_MIN_S = 2.0
"""s; shortest lease of a controller: below it, renewals could not be retried."""
CANCEL_RESERVE_S = 3.0
"""s; part of a cancellation's time that controller lease and worker lease together leave free."""
LEASE_RENEWAL_INTERVAL_S = 2.0
"""s; interval of lease renewal and view confirmation. Five attempts fit into one lease."""
MEMBERSHIP_RETRY_DELAY_S = 0.4
"""s; delay after a refused renewal or another refused write of the membership: an outage must
not use up the request budget."""
CLOCK_DRIFT = 0.001
"""ratio; twice the 0.05 % that the platform's protocol states, since two clocks may drift apart."""
AUTHORITY_MARGIN_S = 0.3
"""s; subtracted from the lease, for timers that fire late on a busy core."""
LEASE_EXPIRY_MARGIN_S = 0.5
"""s; added to a worker's lease before its session counts as expired."""
VIEW_JITTER_S = 0.3
"""s; members other than the leader wait for 0.3 to 1.3 times this long before they change the view,
so that one change wins."""
OWNER_OVERRIDE_DELAY_S = 5.0
"""s; a worker that keeps reporting to a controller that does not own it is assigned to this
controller after this time."""
OWNER_OVERRIDE_REDIRECTS_MIN = 3
"""redirects; number after which a worker counts as unable to reach its owner."""
OWNER_TIMEOUT_SILENCE_MIN_S = 4.6
"""s; shortest gap between heartbeats after which a worker that reports to a non-owner counts as
timed out at its owner: it waits 4 s for an answer and 1 s more before it tries another node.
After refused connections and early heartbeats, the gaps are shorter."""
OWNER_TIMEOUT_SILENCE_MAX_S = 12.0
"""s; a worker silent for at least this long was cut off from all controllers, which proves
nothing against its owner."""
OWNER_TIMEOUT_WINDOW_S = 6.0
"""s; window in which the workers that timed out at an owner are counted: a little more than one
round of their attempts."""
DETACH_WORKERS_MIN = 4
"""workers; fewest that must have timed out at their owner before it is detached."""
DETACH_WORKERS_SHARE = 0.2
"""ratio; smallest part of an owner's workers that must have timed out before it is detached."""
REPORTING_WINDOW_INTERVALS = 1.8
"""report intervals; window in which a worker's heartbeat counts as recent."""
REPORTING_SHARE_MIN = 0.5
"""ratio; a member that receives recent heartbeats of this part of its workers is not detached:
machines that come back from a network partition have timed out as well."""
PROBE_WORKERS = 4
"""workers; number that a detached member probes in one round."""
PROBE_ROUNDS = 2
"""rounds; consecutive ones that all probed workers must answer before the member asks to be
attached again."""
TERM_BUMP_DELAY_S = 6.0
"""s; if an attempt that is to be stopped has not been seen on its worker for this long, a new term
is requested, which makes a launch still in flight harmless. Well below every `cancel_s`."""
TERM_BUMP_INTERVAL_MIN_S = 10.0
"""s; shortest interval between a view and a next one that is written only to raise the term, set
overrides, change the leader or attach a member."""

# --- Cancellations --------------------------------------------------------
CANCEL_HALT_FALLBACK_DELAY_S = 3.0
"""s; a task of a cancelled job that the owner of its machine has not ended by then is halted by
every controller that sees it: two rounds of the owner's own halts."""
CANCEL_DELETE_LEAD_S = 8.0
"""s; a machine that may still run such a task is deleted this long before the cancellation's
time is over: a call to the cloud of 4 s without an answer, and one more."""
CANCEL_DELETE_RETRY_DELAY_S = 2.0
"""s; delay before such a deletion is requested again, until the cloud answers."""

# --- Key-value store ------------------------------------------------------
KEY_PREFIX = "ad/"
"""prefix of all keys, so that one watch sees every change in order."""
STORE_TIMEOUT_S = 1.5
"""s; timeout of a call to the store, whose outcome is then unknown."""
WATCH_BLOCK_MS = 10_000
"""ms; time for which the store holds a watch open without a change."""
WATCH_TIMEOUT_S = 15.0
"""s; timeout of a watch, which is then opened again."""
WATCH_DELAY_S = 0.08
"""s; delay between watches: limits them to about 12 requests a second."""
STORE_LIST_LIMIT = 500
"""rows; page size of a listing of keys."""
STORE_RATE_BUDGET_SHARE = 0.95
"""ratio; part of the store's rate limits that the controllers plan to use."""
WRITE_RATE_MAX_SHARE = 0.8
"""ratio; largest part of the store's write limit that one controller tries to use."""
FINAL_WRITE_DELAY_S = 0.4
"""s; additional time that final results wait for their write, compared with a service's step."""
STEP_WRITE_DELAY_S = 1.5
"""s; additional time that steps of arrays and gangs wait for their write."""
PROGRESS_WRITE_DELAY_S = 2.0
"""s; additional time that lists of finished tasks wait for their write."""
QUEUE_TIMEOUT_S = 3.0
"""s; a call that has been queued for this long is dropped, and its cause is evaluated again."""
STEP_QUEUE_TIMEOUT_S = 6.0
"""s; the same for steps of arrays and gangs, lists of finished tasks and ends of jobs: with a
shorter timeout they would never get their turn. An end is the same write when it is decided
again, but at the end of the queue: with the shorter timeout, more than half of the ends of some
classes were dropped."""
CALL_DISPATCH_INTERVAL_S = 0.02
"""s; shortest interval between two sorts of the calls that wait for the rate limit, unless a new
call arrives: at the usual rates, it takes three times as long until one more write is allowed."""
WRITE_RATE_TIME_CONSTANT_S = 2.0
"""s; time constant of the moving average of a controller's own writes, which it reports to the
other controllers."""
WRITE_RATE_INCREASE_PER_S = 2.0
"""writes/s per s; additive increase of the write rate while writes wait."""
WRITE_RATE_DECREASE_FACTOR = 0.6
"""ratio; the write rate is multiplied by it after a refusal, down to the equal share."""
WAITING_CALLS_THRESHOLD = 2
"""calls; with more steps than this waiting, the batching window of arrays and gangs and the
interval of progress writes are longer."""
ARRAY_DEFERRAL_MAX_S = 3.0
"""s; longest time for which arrays and gangs are not placed because users and services wait for
their writes. At the start of a day, steps of arrays that were reserved and not yet written held the
machines that the services still to be accepted needed."""
BATCHING_WINDOW_S = 0.3
"""s; usual pause between two passes that place arrays and gangs."""
BATCHING_WINDOW_RATE_LIMITED_S = 0.8
"""s; pause between two such passes while steps wait for their writes."""
BATCHING_WINDOW_SPARE_WRITES_S = 0.1
"""s; pause between two such passes while writes are to spare. Where tasks run for eight seconds,
every tenth of a second between the end of one and the start of the next is more than a hundredth
of the fleet."""
SPARE_WRITES_SHARE = 0.7
"""ratio; writes are to spare while no write waits and this part of one second's worth of writes
is left."""
BATCHING_TASKS_MIN = 8
"""tasks; while steps wait for their writes, an array waits for a step of at least so many tasks.
A step of one task takes the same write as one of eight."""
STEP_BATCHING_WINDOW_S = 2.0
"""s; longest time that an array waits for a step of that size."""
VALUE_FILL_SHARE = 0.85
"""ratio; part of `value_kb` that a record may fill before no task is added."""
VALUE_LIMIT_MIN_BYTES = 1200
"""bytes; a description of usual length and the attempts of a step. The size limit of records is
never lowered further, whatever the store refuses."""
DESCRIPTION_SHARE = 0.7
"""ratio; part of the record's size limit that a job's description may fill: the rest is for its
attempts."""
CALL_QUEUE_LIMIT_S = 20.0
"""s; limit of the queue, as the time that its calls take at the store's request rate. New calls
beyond it are refused at once; queued ones are dropped after six seconds anyway. Users' calls are
limited by `PENDING_REQUESTS_MAX` and do not count."""
CALL_QUEUE_LIMIT_MIN = 400
"""calls; smallest limit of the queue, whatever the request rate."""
RETRY_DELAY_MIN_S = 0.15
"""s; shortest delay, with jitter, before a failed write is decided again."""
RETRY_DELAY_MAX_S = 1.0
"""s; longest delay before a failed write is decided again."""

# --- API requests ---------------------------------------------------------
BODY_MAX_BYTES = 65_536
"""bytes; the platform protocol's limit for a request body."""
HEADER_MAX_BYTES = 16_384
"""bytes; a larger request head is malformed."""
REQUEST_READ_TIMEOUT_S = 10.0
"""s; a request that is not complete by then is dropped and its connection closed."""
IDLE_CONNECTION_TIMEOUT_S = 120.0
"""s; an idle connection is closed after this time."""
FD_RESERVE = 100
"""sockets; reserved below the platform's limit for store, cloud, peers and files."""
REFUSED_CONNECTIONS_MAX = FD_RESERVE // 4
"""connections; number beyond the limit that get an answer (503 with Retry-After); more are
reset."""
REFUSED_CONNECTION_TIMEOUT_S = 1.0
"""s; longest time for which such a connection stays open."""
CONNECTION_LIMIT_WARNING_INTERVAL_S = 20.0
"""s; shortest interval between two log lines about refused connections."""
FD_WORKERS_SHARE = 0.25
"""ratio; part of the platform's limit reserved for calls to workers. Incoming connections get the
rest: at 900 machines, one controller alone has 900 heartbeats and its users."""
REQUEST_TIMEOUT_S = 1.6
"""s; a user's request that the store has not answered by then gets 503. Users wait 2 s for a
poll."""
RETRY_AFTER_S = 1
"""s; Retry-After of refused users: the shortest pause that the platform's protocol allows."""
PENDING_REQUESTS_MAX = 300
"""requests; with more of them pending, users are refused at once with Retry-After."""
POLL_CONFIRMATION_WINDOW_S = 0.1
"""s; batching window of polls that wait for a confirmation that the replica is current."""
POLL_CONFIRMATION_CONDITIONS_MAX = 40
"""conditions; limit for one compare-only transaction."""
CONCURRENT_OUTCOME_READS_MAX = 4
"""reads; limit of concurrent reads of the outcomes of needed jobs that are not in the replica:
after a start there may be hundreds, and users' requests share the rate limit."""
FINAL_STATE_CACHE_MAX = 50_000
"""entries; limit of the final states cached in memory."""

STORED_WALL_TIME_DIGITS = 3
"""digits; of a second, in the times of day of stored records."""

# --- Steps ----------------------------------------------------------------
STEP_TASKS = 100
"""tasks; size of one step of an array."""
PROGRESS_INTERVAL_SPARE_WRITES_S = 0.5
"""s; interval at which finished tasks are recorded if no step of the job is due anyway, while
jobs wait for the team's limit and writes are to spare."""
PROGRESS_INTERVAL_TEAM_LIMITED_S = 2.5
"""s; the same while jobs wait for the team's limit and no writes are to spare."""
PROGRESS_INTERVAL_S = 6.0
"""s; the usual interval. Only the charge of a team's limit depends on these writes: capacity
counts as free by the heartbeats, and the workers retain the results."""
PROGRESS_INTERVAL_RATE_LIMITED_S = 30.0
"""s; the same while steps wait for their writes. Where 15 writes a second were the bottleneck,
accepting jobs, their steps and their ends were less than half of the writes."""
HANDOFF_MIN_SHARE = 0.25
"""ratio; of the tasks of an array's step that found no capacity here, the smallest part for which
another controller must have capacity before the array is handed off."""
HANDOFF_COOLDOWN_S = 2.0
"""s; shortest time for which a controller keeps an array that was handed to it."""
LAUNCH_RETRY_DELAY_S = 1.0
"""s; a launch that is not seen in a heartbeat by then is sent again."""
RETAINED_ATTEMPTS_MAX = 60
"""attempts; a new term is requested if one worker has to retain more ended ones than this, because
a duplicate of their launch might still arrive."""
HALT_RETRY_DELAY_S = 1.5
"""s; a halt that shows no effect by then is sent again."""
WORKER_COMMAND_TIMEOUT_S = 3.0
"""s; timeout of a command sent directly to a worker, whose outcome is then unknown."""
ANSWERED_HEARTBEAT_GAP_MAX_S = 3.5
"""s; after a shorter gap between two heartbeats, the worker has received the last answer: it
waits 4 s for an answer, and sends its next heartbeat sooner if it has received one."""
MACHINE_CHECK_INTERVAL_S = 0.5
"""s; interval at which machines are checked for silence and expired leases: a pass over all of
them, which at 900 machines should not run four times a second."""
SAVE_GRACE_MARGIN_S = 1.0
"""s; a task that can save itself has this much longer to end than saving takes."""
PROBE_SILENCE_THRESHOLD_S = 6.0
"""s; a worker silent for this long is probed directly by a job's owner."""
PROBE_TIMEOUT_S = 2.0
"""s; a probe without an answer by then has failed."""
PROBE_INTERVAL_S = 3.0
"""s; interval between two probes."""
ERROR_BACKOFF_S = 2.0
"""s; first backoff of a job whose tasks fail."""
ERROR_BACKOFF_MAX_S = 30.0
"""s; longest backoff of a job whose tasks fail."""
FAULTY_MACHINE_JOBS_MIN = 2
"""jobs; a machine on which this many different jobs fail is cordoned as faulty."""

DEPRIORITIZED_JOB_FAILURES_MIN = 2
"""failures; a job with this many consecutive ones comes last in its team."""
JOB_SWEEP_INTERVAL_S = 2.0
"""s; interval at which a controller checks all its jobs, for changes that no message reported."""

SETTLEMENT_BATCHING_WINDOW_S = 2.0
"""s; lost tasks wait for this long for a step that records their loss as well, before the loss
is recorded alone."""

AGEING_THRESHOLD_S = 60.0
"""s; a job that has waited for this long and of which nothing has begun comes first in its
rank."""
AGEING_THRESHOLD_SHARE = 0.6
"""ratio; where an objective limits the wait of an array, the ageing threshold is this part of
that limit."""
OVERDUE_THRESHOLD_S = 150.0
"""s; after this wait the job comes before all others, so that large ones too begin within
minutes under lasting shortage."""

# --- Team limits ----------------------------------------------------------
ALLOCATION_RELEASE_INTERVAL_S = 0.5
"""s; interval at which allocations of a team's limit that other controllers need are released."""
ALLOCATION_HEADROOM_SHARE = 0.5
"""ratio; part of its share of the unused limit that a controller allocates beyond its need when
it raises its allocation: the next steps then need no write of the team's record."""

LIMIT_DEFERRAL_MAX_S = 15.0
"""s; how long a part of a team's limit is left to a job of another controller that does not take
it, and how long the controller then serves its own jobs first. A step waits for its write for up to
`STEP_QUEUE_TIMEOUT_S`, and no job may be left waiting for 90 s."""
LIMIT_DEFERRAL_GAP_MAX_S = 5.0
"""s; a wait for another controller's job has ended if it was not noticed again for this long.
Placement passes are at most `JOB_SWEEP_INTERVAL_S` apart."""

# --- Placement ------------------------------------------------------------
QUEUE_PASS_INTERVAL_S = 0.1
"""s; interval between two passes over the queue."""
PLACEMENT_SAMPLE_SIZE = 16
"""machines; considered for each task. More than the 8 of the design, because an image is often
on few machines only; small parts of the fleet have about 16 machines."""
PREEMPTION_SAMPLE_SIZE = 64
"""machines; considered for preemption. Most of them run no task that may be stopped."""
PREEMPTION_RESERVATION_S = 4.0
"""s; a machine on which tasks are preempted for a job stays reserved for the job this long."""
PREEMPTION_MARGIN_S = 1.5
"""s; preemption, or handing a service off, must save at least this much waiting time."""
LOST_WORK_WEIGHT = 0.25
"""ratio; weight of one second of lost work against one second of waiting."""
EPSILON = 1e-6
"""cores, GPUs, GB, shares; tolerance for rounding errors in sums."""

# --- Rebalancing ----------------------------------------------------------
FETCH_SCALE_S = 10.0
"""s; an image fetch of this length weighs as much as a machine filled by one task."""
SPEED_SAMPLES_MAX = 32
"""tasks; number over which a machine's speed is averaged."""
SPEED_SAMPLES_MIN = 3
"""tasks; with fewer samples the speed is not used: single run times differ by more than the tenth
by which machines of one type differ."""
SPEED_RATIO_MAX = 10.0
"""ratio; limit of a task's run time relative to the mean: a longer one says nothing more about
the machine."""
MEAN_LOAD_INTERVAL_S = 1.0
"""s; interval at which mean loads are computed: a pass over all machines that take steps."""
MOVE_SOURCES_MAX = 8
"""machines; considered as sources in one pass. With the next two limits, the work of a pass is
bounded whatever the fleet's size: 8 * 16 * (8 + 8) pairs at most."""
MOVE_JOBS_MAX = 16
"""jobs; considered on each source, with one task of each."""
MOVE_DESTINATIONS_MAX = 8
"""machines; considered as destinations of each task, and as many again that hold its data."""
DATA_LOCALITY_MACHINES_MAX = 16
"""machines; whose tasks one pass reviews for data locality. Each pass takes the next part of the
fleet, however even the load is."""
MOVE_SOURCE_BACKOFF_S = 30.0
"""s; a machine from which nothing could be moved is not considered again before: it would keep
machines that can be relieved out of the pass."""
MOVE_MIN_CORES = 0.1
"""cores; the move of a task that requests fewer must gain as much as if the task requested this
many: the move costs the same writes."""
MOVE_BACKOFF_S = 10.0
"""s; no new move is requested for a job this long after one was refused."""
MOVE_BACKOFF_MAX_S = 300.0
"""s; limit of the backoff, which doubles while the owner does not answer at all."""
MOVE_RESERVATION_S = 30.0
"""s; time for which capacity at a destination is reserved. A stop, its settlement and the next
step take about a second; a source that is cut off is settled when its lease expires, which is
sooner."""
MOVE_CHECK_INTERVAL_S = 0.5
"""s; interval at which moves under way are checked for changes that no message reported."""
MOVE_LOAD_TOLERANCE = 0.02
"""ratio; a destination whose load exceeds the planned one by more than this is refused."""
MOVE_HISTORY_MAX = 50
"""moves; number of ended ones that a controller retains for its operators."""

# --- Capacity shares ------------------------------------------------------
CAPACITY_FORMAT = 3
"""record format; from this one on, the holder of each machine is recorded, and steps are
conditional on it."""
CAPACITY_BUCKETS = 16
"""records; over which the holders of machines are distributed. With 4,000 machines they are
2.5 KB each, and a step that uses machines of all of them has 20 conditions: four for each write,
at the least limit of five."""
PREFERRED_OWNER_MIN_UPTIME_S = 5.0
"""s; a partition's controller gets no jobs until it has been a member for this long, since it may
leave and rejoin repeatedly."""
PREFERRED_OWNER_HANDOFF_INTERVAL_S = 0.5
"""s; a controller hands over one job in each interval: hundreds at once would be hundreds of
writes."""
REPLICA_MOVE_ESTIMATE_S = 10.0
"""s; estimated time to move a replica, for the choice of the machine to hand over and for
forecasts."""
TASK_REMAINING_MIN_S = 1.0
"""s; estimated remaining time of a task that has exceeded its estimate, for the same purposes."""
DRAIN_MOVE_COOLDOWN_S = 2.0
"""s; cooldown between two moves of a job whose machines are handed over: until the replica that
moved is seen running."""
REQUEST_ID_LENGTH_MAX = 100
"""characters; limit of the name of a request that may be repeated."""
DEADLINE_MAX_S = 86_400.0
"""s; latest deadline that a change of shares may set for stopping tasks that save: a day."""

# --- Fleet ----------------------------------------------------------------
MACHINE_LIST_INTERVAL_S = 2.0
"""s; interval at which the leader reads the machine list."""
MACHINE_LIST_LIMIT = 500
"""machines; the platform protocol's limit for one page of the list."""
MACHINE_LIST_CALLS_SHARE = 0.5
"""ratio; part of the cloud's rate limit that the pages of a list may take: the rest is for
rentals and deletions."""
MACHINE_LIST_TIMEOUT_S = 60.0
"""s; a listing whose pages are refused for this long is restarted."""
MACHINE_TYPES_INTERVAL_S = 30.0
"""s; interval at which machine types and prices are read again."""
MACHINE_TYPES_RETRY_DELAY_S = 1.0
"""s; shortest delay before the machine types are read again after the cloud did not answer."""
CATALOGUE_WRITE_RETRY_DELAY_S = 5.0
"""s; delay before the machine types are read again after they could not be written to the store."""
CLOUD_PAUSE_S = 0.5
"""s; shortest pause of all calls to the cloud after it refused or failed one."""
CLOUD_TIMEOUT_S = 4.0
"""s; timeout of a call to the cloud, whose outcome is then unknown."""
FLEET_CHECK_INTERVAL_S = 0.5
"""s; interval between two fleet decisions."""
FLEET_SUMMARY_INTERVAL_S = 20.0
"""s; interval at which the leader logs a summary of the states of its machines."""
RENTAL_ATTEMPTS_MAX = 4
"""calls; a rental whose outcome is still unknown after this many is given up: the machine list
will show its result."""
RENTAL_JOB_FAILURES_LIMIT = 3
"""failures; no machines are rented for a job with this many consecutive failed attempts, since it
fails everywhere."""
RENTAL_MACHINES_MAX = 50
"""machines; the platform protocol's limit for one rental request."""
DELETION_MACHINES_MAX = 100
"""machines; the platform protocol's limit for one deletion request."""
NO_CAPACITY_BACKOFF_S = 6.0
"""s; a machine type that the cloud refused is not requested again before."""
IDLE_RETURN_S = 6.0
"""s; an idle machine beyond the idle reserve is kept for this long, once its minimum charge is used
up. At hundreds of machines, those idle for less than ten seconds were a tenth."""
IDLE_HEARTBEAT_AGE_MAX_S = 5.0
"""s; a machine whose last heartbeat is older is not returned as idle."""
MIN_CHARGE_S = 60.0
"""s; minimum charge of every machine, so returning it sooner saves nothing."""
FREED_CAPACITY_HORIZON_SHARE = 0.8
"""ratio; part of boot and fetch time within which running tasks must end, by their estimates, for
their capacity to replace a new machine. Estimates are often wrong."""
DEMAND_FORECAST_HORIZON_RATIO = 1.0
"""ratio of boot time; a job whose needed jobs are to end within it counts as demand for
machines."""
NO_DEADLINE_S = 1e8
"""s; three years: an end of a job that is later than this means no deadline."""
BOOT_TIMEOUT_RATIO = 3.0
"""ratio of boot time; timeout after which a machine is replaced and deleted."""
BOOT_TIME_DEFAULT_S = 30.0
"""s; boot time of a machine whose type the cloud no longer offers."""
BOOT_TIMEOUT_MIN_S = 20.0
"""s; shortest boot timeout."""
NEW_LEADER_DELAY_S = 1.0
"""s; a new leader waits this long for its peers' state before it decides."""
FIRST_HEARTBEAT_TIMEOUT_S = 60.0
"""s; a leader that has led for this long deletes machines listed as running that never sent a
heartbeat."""
DELETION_CORDON_S = 1.0
"""s; a machine must be cordoned this long and still be empty before it is deleted."""
CORDON_TTL_S = 15.0
"""s; the cordon of an idle machine expires after this time unless the leader renews it: the
message that ends it may be lost, and so may the leader. Well above one call to the cloud."""
SUSPECT_SILENCE_INTERVALS = 1.6
"""report intervals; a machine with replicas that is silent for this long is probed."""
UNRESPONSIVE_SILENCE_INTERVALS = 2.4
"""report intervals; a machine that is silent for this long and does not answer the probe is
deleted: the confirmed deletion settles its tasks sooner than its lease would."""
LEADER_DELETE_DELAY_S = 2.0
"""s; a leader deletes no machine as unresponsive until it has had its authority (again) for this
long: it first needs its peers' state and the heartbeats of its own workers. A leader that was a
member before has both."""
DELETE_REPORTING_SHARE_MIN = 0.6
"""ratio; a leader deletes no machine as unresponsive unless this part of the workers has sent a
heartbeat lately."""
SILENT_MACHINE_TIMEOUT_S = 45.0
"""s; any machine, with or without replicas, that is silent for this long is deleted once no
recorded task can still run on it."""
UNLISTED_MACHINE_TIMEOUT_S = 30.0
"""s; a rented machine that is not listed and sends no heartbeat is forgotten after this plus
twice the list lag."""
IDLE_RESERVE_WINDOW_S = 120.0
"""s; window in which arrivals of services are counted for the idle reserve."""

# --- Peers ----------------------------------------------------------------
PEER_FRAME_MAX_BYTES = 1_000_000
"""bytes; a longer netstring closes the link."""
PEER_RECONNECT_DELAY_S = 0.4
"""s; delay before a lost link is opened again."""
DELETED_MACHINES_MAX = 20_000
"""machines; remembered as deleted. Beyond this limit, the older half is forgotten."""
DELETED_MACHINES_RESENT_MAX = DELETED_MACHINES_MAX // 2
"""machines; the latest deletions, sent to a peer whose link has just opened."""
INITIAL_SYNC_WORKERS_MAX = 400
"""workers; sent to a peer in one part after its link has opened, one part in each pass. All 4,000
at once are more than the link's buffer takes: the link was dropped, and the sync began again."""
UNCHANGED_HEARTBEATS_MAX = 2000
"""workers; limit of one message about those whose heartbeats showed no change: 80 KB."""
PEER_AGE_MAX_S = 1e6
"""s; limit of the ages that are sent to peers."""
WORKER_RESEND_INTERVAL_S = 5.0
"""s; interval at which the unchanged state of a worker is sent to the peers again."""
PEER_BUFFER_MAX_BYTES = 2_000_000
"""bytes; a link whose peer does not read is dropped when its buffer is larger than this."""

UNCHANGED_HEARTBEATS_INTERVAL_S = 0.5
"""s; interval at which the peers are told which workers sent heartbeats without changes. Together
with the time between two heartbeats it stays below the silence after which no step is placed on
a machine."""
CONTROLLER_HEARTBEAT_INTERVAL_S = 0.5
"""s; interval of a controller's heartbeats to its peers."""
CONTROLLER_HEARTBEAT_TIMEOUT_S = 1.8
"""s; a controller without a heartbeat for this long counts as unreachable: three heartbeats."""
STORE_UNREACHABLE_TIMEOUT_S = 4.0
"""s; a peer that the store has not answered for this long has lost the store: renewals are sent
every two seconds."""
ISOLATION_TIMEOUT_S = 2.8
"""s; a controller that the store has not answered for this long may be isolated: by then one
renewal has been refused. The controller thus notices this a little sooner than its peers do."""
ISOLATION_PEER_AHEAD_S = 2.4
"""s; a peer that the store answered this much later than this controller is still served:
renewals are two seconds apart, so that in an outage all last answers lie within that time."""
ISOLATION_CONFIRMATION_S = 0.8
"""s; isolation counts only once it has lasted this long: after an outage some controllers are
served a moment sooner than others."""
LEADER_FAILURE_TIMEOUT_S = 1.0
"""s; a leader that alone fails for this long, by its own report or the others', is replaced:
without a leader nothing is rented."""

# --- Console --------------------------------------------------------------
CONSOLE_POLL_INTERVAL_S = 1.0
"""s; shortest interval between two requests of a console that has received all changes."""
CONSOLE_RETRY_DELAY_S = 2.0
"""s; delay after no controller has answered."""
CONSOLE_TIMEOUT_S = 4.0
"""s; timeout of a request, after which the console asks the next controller."""
CONSOLE_BYTES_PER_S = 2000
"""bytes/s; default limit of a console's use of its link: the rate of a slow modem."""
CONSOLE_RESPONSE_TARGET_S = 3.0
"""s; one answer should take no longer at that rate, so that the screen is updated often."""
CONSOLE_ROW_BYTES = 90
"""bytes; assumed size of a row until one is measured."""
CONSOLE_HEADERS_BYTES = 400
"""bytes; headers of request and answer."""
CONSOLE_ROWS_MAX = 500
"""rows; limit of one answer, whatever the link's rate."""
CONSOLE_TOMBSTONES_MAX = 1000
"""rows; removed ones that are still reported as such. Beyond this limit, consoles that lag behind
read everything again."""

# --- Metrics --------------------------------------------------------------
LATENCY_MAX_US = 60_000_000
"""us; longest latency that the histograms distinguish."""
LATENCY_DIGITS = 2
"""digits; precision of the histograms: about 20 KB each."""

# --- Process --------------------------------------------------------------
BATCH_INTERVAL_S = 0.01
"""s; shortest interval between two batches: commands that arrive meanwhile are handled together.
Answers to users may take 200 ms, of which the store takes a part."""
GC_THRESHOLD_OBJECTS = 50_000
"""objects; allocated, less those freed, before the garbage collector searches for cycles.
There are few cycles, and the default of 700 means several searches in each batch."""
TICK_S = 0.05
"""s; interval at which the engine checks its timers."""
CONNECT_TIMEOUT_S = 1.0
"""s; timeout of a connection attempt: a machine without power does not refuse, it only stays
silent."""
