"""Every constant of the service, with its unit and the reason for its value."""

DISTANT_PAST = -1e9
"""s; on the steady clock, before anything happened."""

# --- Membership -----------------------------------------------------------
CONTROLLER_LEASE_S = 16.0
"""s; lease of a controller. The paper starts at 10 (Kafka's default); outages of the
state service last about 15 s, and a crash needs no lease to be noticed."""
CONTROLLER_LEASE_MIN_S = 2.0
"""s; shortest lease: below it renewals could not be retried."""
CANCEL_RESERVE_S = 3.0
"""s; of a cancellation's time that lease and worker lease together leave free."""
LEASE_RENEWAL_INTERVAL_S = 2.0
"""s; lease renewal and view confirmation. Five tries fit into one lease."""
MEMBERSHIP_RETRY_DELAY_S = 0.4
"""s; pause after a refused renewal: an outage must not eat the request budget."""
CLOCK_DRIFT = 0.001
"""ratio; twice the protocol's 0.05 %, since two clocks may drift apart."""
AUTHORITY_MARGIN_S = 0.3
"""s; time kept back from the lease for timers that fire late on a busy core."""
LEASE_EXPIRY_MARGIN_S = 0.5
"""s; added to a worker's lease before its session counts as lapsed."""
VIEW_JITTER_S = 0.3
"""s; members that do not lead wait up to this long, so that one view wins."""
OWNER_OVERRIDE_DELAY_S = 5.0
"""s; a worker that keeps coming to a non-owner this long is moved to it."""
OWNER_OVERRIDE_REDIRECTS_MIN = 3
"""count; redirects after which a worker counts as unable to reach its owner."""
OWNER_TIMEOUT_SILENCE_MIN_S = 4.6
"""s; a worker waits 4 s for an answer and 1 s more before it tries another node.
Refused connections and sooner reports come at shorter gaps."""
OWNER_TIMEOUT_SILENCE_MAX_S = 12.0
"""s; one silent for longer was cut off from everybody, which proves nothing against
its owner."""
OWNER_TIMEOUT_WINDOW_S = 6.0
"""s; over which such workers are counted: a little more than one round of theirs."""
DETACH_WORKERS_MIN = 4
DETACH_WORKERS_SHARE = 0.2
"""workers, and part of an owner's workers, that must have waited in vain."""
REPORTING_WINDOW_INTERVALS = 1.8
REPORTING_SHARE_MIN = 0.5
"""report intervals, ratio; a member that hears so many of its workers in that time is
not detached: machines that come back from a cut have waited in vain as well."""
PROBE_WORKERS = 4
PROBE_ROUNDS = 2
"""workers asked by a detached member, and rounds that all must answer."""
TERM_BUMP_DELAY_S = 6.0
"""s; a stopped attempt never seen on its worker this long asks for a new term,
which makes a launch still in flight harmless. Well below every `cancel_s`."""
TERM_BUMP_INTERVAL_MIN_S = 10.0
"""s; least pause between two views taken only to raise the term."""

# --- Cancellations --------------------------------------------------------
CANCEL_HALT_FALLBACK_DELAY_S = 3.0
"""s; a task of a cancelled job that its machine's owner has not ended by then is halted
by every controller that sees it: two rounds of the owner's own halts."""
CANCEL_DELETE_LEAD_S = 8.0
"""s; so long before a cancellation's time is over, a machine that may still run such a
task is deleted: a call to the cloud of 4 s without an answer, and one more."""
CANCEL_DELETE_RETRY_DELAY_S = 2.0
"""s; such a deletion is asked for again, until the cloud answers."""

# --- State service --------------------------------------------------------
KEY_PREFIX = "ad/"
"""prefix of all keys, so that one watch sees every change in order."""
STORE_TIMEOUT_S = 1.5
"""s; a call without an answer by then has an unknown outcome."""
WATCH_BLOCK_MS = 10_000
"""ms; how long a watch waits on the state service."""
WATCH_TIMEOUT_S = 15.0
"""s; a watch without an answer by then is opened anew."""
WATCH_DELAY_S = 0.08
"""s; pause between watches: bounds them to about 12 requests a second."""
STORE_LIST_LIMIT = 500
"""rows; page of a listing."""
STORE_RATE_BUDGET_SHARE = 0.95
"""ratio; part of the state service's limits that the controllers plan to use."""
WRITE_RATE_MAX_SHARE = 0.8
"""ratio; most of the state service's writes that one controller tries for."""
FINAL_WRITE_DELAY_S = 0.4
STEP_WRITE_DELAY_S = 1.5
PROGRESS_WRITE_DELAY_S = 2.0
"""s; how much longer than a step of a service final results, steps of arrays and lists
of finished tasks wait for their write."""
QUEUE_TIMEOUT_S = 3.0
STEP_QUEUE_TIMEOUT_S = 6.0
"""s; a call that has waited so long is given up and decided anew. Steps of arrays, lists of
finished tasks and ends of jobs wait longer: given up too soon, they would never get their
turn. An end is the same write when it is decided anew, but at the end of the queue: with
the shorter time, more than half of the ends of some classes were given up."""
CALL_DISPATCH_INTERVAL_S = 0.02
"""s; calls that wait for the limit are put in order at most so often: one write takes
three times as long to come in at the usual rates."""
WRITE_RATE_TIME_CONSTANT_S = 2.0
"""s; over which a controller averages what it writes, to tell the others."""
WRITE_RATE_INCREASE_PER_S = 2.0
"""writes/s per s; how fast it tries for more while writes wait."""
WRITE_RATE_DECREASE_FACTOR = 0.6
"""ratio; what a refusal leaves of the rate, down to the equal share."""
WAITING_CALLS_THRESHOLD = 2
"""calls; with more steps waiting, arrays gather room and results for longer."""
BATCH_JOB_DEFERRAL_MAX_S = 3.0
"""s; longest time for which arrays are not placed because users and services wait for
their writes. At the start of a day steps of arrays, reserved and not yet written, held
the machines that the services still to be accepted needed."""
BATCHING_WINDOW_S = 0.3
BATCHING_WINDOW_RATE_LIMITED_S = 0.8
BATCHING_WINDOW_SPARE_WRITES_S = 0.1
"""s; pause between two passes that place arrays: usually, while steps wait for their writes,
and while writes are to spare. Where tasks run for eight seconds, every tenth of a second
between the end of one and the start of the next is more than a hundredth of the fleet."""
SPARE_WRITES_SHARE = 0.7
"""ratio; writes are to spare while nothing waits for them and this part of a second's worth
is left."""
BATCHING_TASKS_MIN = 8
STEP_BATCHING_WINDOW_S = 2.0
"""tasks, s; while steps wait for their writes, an array waits so long for a step of at least
so many tasks. A step of one task takes the same write as one of eight."""
VALUE_FILL_SHARE = 0.85
"""ratio; part of `value_kb` that a record may fill before no task is added."""
VALUE_LIMIT_MIN_BYTES = 1200
"""bytes; a description of usual length and the attempts of a step. Records are never
planned smaller, whatever the state service refuses."""
DESCRIPTION_SHARE = 0.7
"""ratio; part of that which a job's description may fill: the rest is for its attempts."""
CALL_QUEUE_LIMIT_S = 20.0
CALL_QUEUE_LIMIT_MIN = 400
"""s, calls; so many seconds' worth of the state service's requests may wait, and never fewer
calls than that; beyond it new ones are refused at once. They are given up after six seconds
anyway. Users' calls are bounded by `PENDING_REQUESTS_MAX` and do not count."""
RETRY_DELAY_MIN_S = 0.15
RETRY_DELAY_MAX_S = 1.0
"""s; jittered pause before a failed write is decided anew."""

# --- Users ----------------------------------------------------------------
BODY_MAX_BYTES = 65_536
"""bytes; the protocol's limit for a request body."""
HEADER_MAX_BYTES = 16_384
"""bytes; a request head beyond this is malformed."""
REQUEST_READ_TIMEOUT_S = 10.0
"""s; a request not complete by then is given up and its connection closed."""
IDLE_CONNECTION_TIMEOUT_S = 120.0
"""s; an idle connection is closed."""
FD_RESERVE = 100
"""sockets; kept for state service, cloud, peers and files below the platform's limit."""
REFUSED_CONNECTIONS_MAX = FD_RESERVE // 4
REFUSED_CONNECTION_TIMEOUT_S = 1.0
CONNECTION_LIMIT_WARNING_INTERVAL_S = 20.0
"""connections, s, s; so many beyond the limit are told to come again (503 with Retry-After),
each open for so long at most; more are reset. The log says so at most so often."""
FD_WORKERS_SHARE = 0.25
"""ratio; part of the platform's limit kept for our calls to workers. What comes in gets
the rest: at 900 machines one controller alone has 900 reports and its users."""
REQUEST_TIMEOUT_S = 1.6
"""s; a user's request not answered by the state service by then gets 503.
Users wait 2 s for a poll."""
RETRY_AFTER_S = 1
"""s; what refused users are told: the shortest pause the protocol allows."""
PENDING_REQUESTS_MAX = 300
"""requests; beyond it users are refused at once with Retry-After."""
POLL_CONFIRMATION_WINDOW_S = 0.1
"""s; polls waiting for a proof of currency are gathered this long."""
POLL_CONFIRMATION_CONDITIONS_MAX = 40
"""conditions; checked in one compare-only transaction."""
CONCURRENT_OUTCOME_READS_MAX = 4
"""reads; outcomes of needed jobs that are not in the picture are read so many at a time:
after a start there may be hundreds, and users' requests share the limit."""
FINAL_STATE_CACHE_MAX = 50_000
"""entries; final states kept in memory."""

# --- Steps ----------------------------------------------------------------
STEP_TASKS = 100
"""tasks; size of a step, the design's starting value."""
PROGRESS_INTERVAL_SPARE_WRITES_S = 0.5
PROGRESS_INTERVAL_TEAM_LIMITED_S = 2.5
PROGRESS_INTERVAL_S = 6.0
PROGRESS_INTERVAL_RATE_LIMITED_S = 30.0
"""s; finished tasks are recorded this often if no step of the job is due anyway: while
the team's limit is what jobs wait for, with writes to spare and without, usually, and while
steps wait for their writes.
Only the charge of a team's limit waits for it: room counts as free by the reports, and
the workers keep the results. Where 15 writes a second were what lacked, accepting jobs,
their steps and their ends were less than half of them."""
HANDOFF_MIN_SHARE = 0.25
"""ratio; of an array's queued tasks that another controller must have room for."""
HANDOFF_COOLDOWN_S = 2.0
"""s; an array handed to us stays here at least this long."""
LAUNCH_RETRY_DELAY_S = 1.0
"""s; a launch not seen in a report by then is sent again."""
RETAINED_ATTEMPTS_MAX = 60
"""attempts; with more of them that one worker may not forget yet, a new term is taken."""
HALT_RETRY_DELAY_S = 1.5
"""s; a stop that shows no effect by then is sent again."""
WORKER_COMMAND_TIMEOUT_S = 3.0
"""s; a command sent straight to a worker without an answer is uncertain."""
ANSWERED_HEARTBEAT_GAP_MAX_S = 3.5
"""s; a worker waits 4 s for an answer, and reports sooner if it has got one."""
MACHINE_CHECK_INTERVAL_S = 0.5
"""s; how often machines are looked at for silence and lapsed leases: a pass over all of
them, which at 900 machines should not come four times a second."""
SAVE_GRACE_MARGIN_S = 1.0
"""s; a task that can save itself has this much longer to end than saving takes."""
PROBE_SILENCE_THRESHOLD_S = 6.0
"""s; a worker not heard of this long is asked directly by a job's owner."""
PROBE_TIMEOUT_S = 2.0
"""s; such a question without an answer by then has failed."""
PROBE_INTERVAL_S = 3.0
"""s; pause between such questions."""
ERROR_BACKOFF_S = 2.0
ERROR_BACKOFF_MAX_S = 30.0
"""s; first and longest pause of a job whose tasks fail."""
FAULTY_MACHINE_JOBS_MIN = 2
"""jobs; a machine on which this many different jobs fail is set aside."""

DEPRIORITIZED_JOB_FAILURES_MIN = 2
"""errors in a row after which a job comes last in its team."""
JOB_SWEEP_INTERVAL_S = 2.0
"""s; how often all jobs of ours are looked at, for what no message told."""

SETTLEMENT_BATCHING_WINDOW_S = 2.0
"""s; for so long lost tasks wait for a step that records their loss as well, before it
is recorded alone."""

AGEING_THRESHOLD_S = 60.0
AGEING_THRESHOLD_SHARE = 0.6
OVERDUE_THRESHOLD_S = 150.0
"""s; a job of which nothing has begun by then comes first in its rank, and later
before all, so that large ones too begin within minutes under lasting shortage. Where an
objective limits the wait of an array, it is this part of that limit."""

# --- Limits of teams --------------------------------------------------------
ALLOCATION_RELEASE_INTERVAL_S = 0.5
"""s; how often shares of a team's limit are given up that other controllers lack."""
ALLOCATION_HEADROOM_SHARE = 0.5
"""ratio; of its part of what is unused that a controller takes beyond its need when
it raises its share: the next steps then need no write of the team's record."""

# --- Placement ------------------------------------------------------------
QUEUE_PASS_INTERVAL_S = 0.1
"""s; pause between two passes over the queue."""
PLACEMENT_SAMPLE_SIZE = 16
"""machines; looked at for each task. The design starts with 8; images are often
on few machines only, and small parts have about 16."""
PREEMPTION_SAMPLE_SIZE = 64
"""machines; looked at for room to be made. Most run nothing that may be stopped."""
PREEMPTION_RESERVATION_S = 4.0
"""s; a machine being cleared for a job is kept for it this long."""
PREEMPTION_MARGIN_S = 1.5
"""s; clearing a machine, or passing a service on, must save at least this much waiting."""
LOST_WORK_WEIGHT = 0.25
"""ratio; a second of thrown away work against a second of waiting."""
EPSILON = 1e-6
"""cores; tolerance of decimal sums."""

# --- Rebalancing ----------------------------------------------------------
FETCH_SCALE_S = 10.0
"""s; so long a wait for an image weighs as much as a machine filled by one task."""
SPEED_SAMPLES_MAX = 32
SPEED_SAMPLES_MIN = 3
"""tasks; that a machine's speed is averaged over, and below which it is not believed:
single run times differ by more than the tenth by which machines of a type do."""
SPEED_RATIO_MAX = 10.0
"""ratio; a task that took longer than so many others says no more than that."""
MEAN_LOAD_INTERVAL_S = 1.0
"""s; how often mean loads are counted: a pass over all machines that take steps."""
MOVE_SOURCES_MAX = 8
MOVE_JOBS_MAX = 16
MOVE_DESTINATIONS_MAX = 8
"""machines, jobs, machines; looked at in one pass, so that its work is bounded whatever
the fleet's size: 8 * 16 * (8 + 8) pairs at most."""
DATA_LOCALITY_MACHINES_MAX = 16
"""machines; whose tasks a pass looks at for their data, one part of the fleet after the
other, however even the load is."""
MOVE_SOURCE_BACKOFF_S = 30.0
"""s; a machine off which nothing could be moved is looked at again only then: it would keep
others, off which something can, out of the pass."""
MOVE_MIN_CORES = 0.1
"""cores; a task that takes fewer still has to gain as much: its move costs the same writes."""
MOVE_BACKOFF_S = 10.0
"""s; a job whose move was refused is not asked for again before."""
MOVE_BACKOFF_MAX_S = 300.0
"""s; the pause doubles, up to this, while its owner does not answer at all."""
MOVE_RESERVATION_S = 30.0
"""s; room at a destination is kept so long. A stop, its settlement and the next step take
about a second; a source that is cut off is settled by its lease, which is shorter."""
MOVE_CHECK_INTERVAL_S = 0.5
"""s; how often moves under way are looked at for what no message told."""
MOVE_LOAD_TOLERANCE = 0.02
"""ratio; a destination this much fuller than the planner thought is refused."""
MOVE_HISTORY_MAX = 50
"""moves; ended ones that a controller remembers for its operators."""

# --- Capacity shares ------------------------------------------------------
CAPACITY_FORMAT = 3
"""of records; from it on who holds a machine is written, and steps are conditional on it."""
CAPACITY_BUCKETS = 16
"""records; of who holds which machine. 4,000 machines in them are 2.5 KB each, and a step that
uses machines of all of them has 20 conditions: four for each write, at the least limit of five."""
PREFERRED_OWNER_MIN_UPTIME_S = 5.0
"""s; a partition's controller that comes and goes gets no jobs before it has stayed so long."""
PREFERRED_OWNER_HANDOFF_INTERVAL_S = 0.5
"""s; a controller hands over one job in that time: hundreds at once would be hundreds of writes."""
REPLICA_MOVE_ESTIMATE_S = 10.0
TASK_REMAINING_MIN_S = 1.0
"""s; that a replica takes to be moved, and a task beyond its estimate may still take: for the
choice which machine to hand over, and for forecasts."""
DRAIN_MOVE_COOLDOWN_S = 2.0
"""s; between two moves of a job whose machines are handed over: until the replica that moved
is seen running."""
REQUEST_ID_LENGTH_MAX = 100
"""characters; of the name of a request that may be repeated."""
DEADLINE_MAX_S = 86_400.0
"""s; latest moment that a change of shares may name for stopping tasks that save: a day."""

# --- Fleet ----------------------------------------------------------------
MACHINE_LIST_INTERVAL_S = 2.0
"""s; how often the leader reads the machine list."""
MACHINE_LIST_LIMIT = 500
"""machines; the protocol's limit for one page of the list."""
MACHINE_LIST_CALLS_SHARE = 0.5
"""ratio; part of the cloud's calls that the pages of a list may take: the rest is for
rentals and deletions."""
MACHINE_LIST_TIMEOUT_S = 60.0
"""s; a list whose pages are refused so long is begun anew."""
MACHINE_TYPES_INTERVAL_S = 30.0
"""s; how often machine types and prices are read again."""
MACHINE_TYPES_RETRY_DELAY_S = 1.0
"""s; least pause before they are read again after the cloud did not answer."""
CATALOGUE_WRITE_RETRY_DELAY_S = 5.0
"""s; and after they could not be kept in the state service."""
CLOUD_PAUSE_S = 0.5
"""s; least pause of all calls to the cloud after it refused or failed one."""
CLOUD_TIMEOUT_S = 4.0
"""s; a call to the cloud without an answer has an unknown outcome."""
FLEET_CHECK_INTERVAL_S = 0.5
"""s; pause between two fleet decisions."""
FLEET_SUMMARY_INTERVAL_S = 20.0
"""s; how often the leader logs what its machines do."""
RENTAL_ATTEMPTS_MAX = 4
"""calls; a rental whose outcome stays unknown is given up after so many: the machine list
will show what came of it."""
RENTAL_JOB_FAILURES_LIMIT = 3
"""failed attempts; a job that fails everywhere is not worth machines."""
RENTAL_MACHINES_MAX = 50
DELETION_MACHINES_MAX = 100
"""machines; the protocol's limits for one request."""
NO_CAPACITY_BACKOFF_S = 6.0
"""s; a type refused by the cloud is not asked for again before."""
IDLE_RETURN_S = 6.0
"""s; an idle machine beyond the headroom is kept this long, once its least charge is
used up. At hundreds of machines, those idle for less than ten seconds were a tenth."""
IDLE_HEARTBEAT_AGE_MAX_S = 5.0
"""s; a machine not heard of this lately is not returned as idle."""
MIN_CHARGE_S = 60.0
"""s; every machine costs at least this, so returning it sooner saves nothing."""
FREED_CAPACITY_HORIZON_SHARE = 0.8
"""ratio; of boot and fetch within which running tasks must be over, by their
estimates, for their room to stand in for a new machine. Estimates are often wrong."""
DEMAND_FORECAST_HORIZON_RATIO = 1.0
"""ratio of boot time; a job whose needs are to end within it counts as demand for machines."""
NO_DEADLINE_S = 1e8
"""s; three years: a later end of a job stands for no deadline."""
BOOT_TIMEOUT_RATIO = 3.0
"""ratio of boot time after which a machine is replaced and deleted."""
BOOT_TIME_DEFAULT_S = 30.0
"""s; boot time of a machine whose type the cloud no longer offers."""
BOOT_TIMEOUT_MIN_S = 20.0
"""s; no machine counts as late before."""
NEW_LEADER_DELAY_S = 1.0
"""s; a new leader waits for its peers' pictures before it decides."""
FIRST_HEARTBEAT_TIMEOUT_S = 60.0
"""s; a leader deletes machines said to run but never heard of after leading so long."""
DELETION_CORDON_S = 1.0
"""s; a machine is cordoned this long and still empty before it is deleted."""
CORDON_TTL_S = 15.0
"""s; the cordon of an idle machine ends by itself unless the leader repeats it: the word
that ended it may be lost, and so may the leader. Well above one call to the cloud."""
SUSPECT_SILENCE_INTERVALS = 1.6
"""report intervals; a machine with replicas silent this long is asked directly."""
UNRESPONSIVE_SILENCE_INTERVALS = 2.4
"""report intervals; silent this long and mute to the question, it is deleted:
the confirmed deletion settles its tasks sooner than its lease would."""
LEADER_DELETE_DELAY_S = 2.0
"""s; a leader deletes no machine as mute so soon after it got its authority (back): the
peers' pictures and its own workers come first. One that was a member before has both."""
DELETE_REPORTING_SHARE_MIN = 0.6
"""ratio; nor unless this part of the workers has been heard of lately."""
SILENT_MACHINE_TIMEOUT_S = 45.0
"""s; any machine silent this long is deleted."""
UNLISTED_MACHINE_TIMEOUT_S = 30.0
"""s; a rented machine neither listed nor heard of is forgotten after this
plus twice the list lag."""
HEADROOM_WINDOW_S = 120.0
"""s; time over which arrivals of services are counted for the headroom."""

# --- Peers ----------------------------------------------------------------
PEER_FRAME_MAX_BYTES = 1_000_000
"""bytes; a longer netstring closes the link."""
PEER_RECONNECT_DELAY_S = 0.4
"""s; pause before a lost link is dialled again."""
DELETED_MACHINES_MAX = 20_000
"""machines; remembered as deleted. Beyond, the older half is forgotten."""
DELETED_MACHINES_RESENT_MAX = DELETED_MACHINES_MAX // 2
"""machines; the latest deletions, told to a peer whose link has just opened."""
INITIAL_SYNC_WORKERS_MAX = 400
"""workers; told to a peer in one part after its link has opened, one part a look. All 4,000
at once are more than the link's buffer takes: the link was dropped, and began again."""
UNCHANGED_HEARTBEATS_MAX = 2000
"""workers; in one message about those whose reports showed nothing new: 80 KB."""
PEER_AGE_MAX_S = 1e6
"""s; ages told to peers are cut off here."""
WORKER_RESEND_INTERVAL_S = 5.0
"""s; unchanged worker pictures are sent again this often."""
PEER_BUFFER_MAX_BYTES = 2_000_000
"""bytes; a link whose peer does not read is dropped beyond this."""

UNCHANGED_HEARTBEATS_INTERVAL_S = 0.5
"""s; how often the peers are told whose reports came without news. With the time
between two reports it stays below the silence after which no step goes to a machine."""
CONTROLLER_HEARTBEAT_INTERVAL_S = 0.5
"""s; how often a controller tells the others that it lives."""
CONTROLLER_HEARTBEAT_TIMEOUT_S = 1.8
"""s; not heard this long, a controller counts as out of reach: three heartbeats."""
STORE_UNREACHABLE_TIMEOUT_S = 4.0
"""s; renewals are sent every two seconds: a controller not served this long has
lost the state service."""
ISOLATION_TIMEOUT_S = 2.8
"""s; and we ourselves know it a little sooner, one refused renewal later."""
ISOLATION_PEER_AHEAD_S = 2.4
"""s; who was served this much later than we is served still: renewals are two
seconds apart, so that an outage finds all within that."""
ISOLATION_CONFIRMATION_S = 0.8
"""s; only when it lasts: after an outage some are served a moment sooner."""
LEADER_FAILURE_TIMEOUT_S = 1.0
"""s; a leader that alone fails this long, by its own or the others' word, is
replaced: without one nothing is rented."""

# --- Console --------------------------------------------------------------
CONSOLE_POLL_INTERVAL_S = 1.0
"""s; least pause between two questions of a console that knows all changes."""
CONSOLE_RETRY_DELAY_S = 2.0
"""s; pause after every controller was asked in vain."""
CONSOLE_TIMEOUT_S = 4.0
"""s; a controller without an answer by then is left for the next one."""
CONSOLE_BYTES_PER_S = 2000
"""bytes/s; what a console takes of its link unless told otherwise: a slow modem's worth."""
CONSOLE_RESPONSE_TARGET_S = 3.0
"""s; one answer should take no longer at that rate: then the screen never stands still long."""
CONSOLE_ROW_BYTES = 90
CONSOLE_HEADERS_BYTES = 400
"""bytes; a row as long as it is not measured, and the heads of question and answer."""
CONSOLE_ROWS_MAX = 500
"""rows; in one answer, whatever the link's rate."""
CONSOLE_TOMBSTONES_MAX = 1000
"""rows; that are gone and still told as such. Beyond, consoles that lag begin anew."""

# --- Metrics --------------------------------------------------------------
LATENCY_MAX_US = 60_000_000
"""us; longest latency that the histograms tell apart."""
LATENCY_DIGITS = 2
"""digits; precision of the histograms: about 20 KB each."""

# --- Process --------------------------------------------------------------
BATCH_INTERVAL_S = 0.01
"""s; least distance of two batches: what comes meanwhile is worked through together.
Answers to users may take 200 ms and the state service takes some itself."""
GC_THRESHOLD_OBJECTS = 50_000
"""objects; allocated, less those freed, before the garbage collector looks for cycles.
There are few cycles, and the default of 700 means a look several times in each batch."""
TICK_S = 0.05
"""s; how often the engine looks at its timers."""
CONNECT_TIMEOUT_S = 1.0
"""s; a machine without power never refuses, it only stays silent."""
