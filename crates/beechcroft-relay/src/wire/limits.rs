//! Limits of sockets and connections: shares of the descriptors, time-outs and sizes. Nothing here decides about
//! tasks, units or builds; the relay's actor does.

use beechcroft::Settings;
use beechcroft_connections::{HeadTimeoutStart, Limits, PARKED_CONNECTION_BYTES};
use beechcroft_operator::ConnectionSettings;
use std::time::Duration;

/// Longest request body, bytes, as the protocol defines it; a longer one from a client is rejected.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Longest response body of a unit, bytes. Units answer with more than the protocol allows, 384 KB were seen; a longer
/// body counts as a failed response.
pub const MAX_RESPONSE_BODY_BYTES: usize = 1024 * 1024;
/// Longest accepted `X-Txn`, bytes; the protocol's have 16 characters.
pub const MAX_TXN_BYTES: usize = 128;
/// Longest accepted work hint. No task takes as long, and hints are added up.
pub const MAX_WORK_HINT: Duration = Duration::from_secs(3600);
/// Buffer for the head of a message, bytes; the protocol's heads have a few hundred bytes, and hyper requires 8 KiB at
/// least.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest list from discovery, bytes; the full list of a large fleet takes about 200 bytes a unit.
pub const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// Longest line of the platform, bytes; the platform itself closes a connection that sends a longer one.
pub const MAX_LINE_BYTES: usize = 8 * 1024;
/// Longest datagram between relays, bytes.
pub const MAX_PEER_MESSAGE_BYTES: usize = 256;

/// Time in which a client must send a head, and the longest time that it may stay idle. A client may keep a connection
/// without an open request for 2 s, and a silent one must be closed within 3 s of connecting.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(2100);
/// Time in which the body must follow its head; both time-outs together stay below those 3 s.
pub const BODY_TIMEOUT: Duration = Duration::from_millis(700);
/// During shutdown, how long a connection without a request stays open: a request may be on its way.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Under pressure, and where descriptors are needed, a connection without an open request is closed after this time:
/// new clients need the descriptor, and a connection that is reused at all has mostly been by then.
pub const EVICT_AFTER: Duration = Duration::from_millis(150);
/// Without an operator's file: expired connections are closed at this rate a second, or faster so that none is closed
/// more than [`MAX_CLOSE_DELAY`] late. With [`HEAD_TIMEOUT`] that is still below the 3 s in which a silent client must
/// be closed.
pub const EXPIRE_PER_S: u32 = 1000;
/// Longest delay of the closing of an expired connection.
pub const MAX_CLOSE_DELAY: Duration = Duration::from_millis(300);
/// How long a parked connection counts as being read after its first byte arrived: a request sent in one piece is read
/// in one turn.
pub const READ_SLOT_TIMEOUT: Duration = Duration::from_millis(50);
/// Fraction of the shortest quoted time for which a client may wait to be read, if the operator states no time. The
/// rest is for its task.
pub const QUEUE_TIMEOUT_FRACTION: f64 = 0.5;
/// Time for a rejected client to read the response; closing at once could make it lose the response.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections accepted in one turn of the event loop, so that established connections get their turn.
pub const ACCEPTS_PER_TURN: usize = 64;
/// Interval of the kernel's TCP keep-alive probes, once a connection was idle for the operator's `probe_s`.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Unanswered keep-alive probes after which the kernel closes a connection.
pub const KEEPALIVE_RETRIES: u32 = 3;
/// Estimated user memory of a connection that is not parked, bytes: hyper's buffers, its task, and the runtime's entry
/// for its socket. Measured in the lab.
pub const OPEN_CONNECTION_BYTES: usize = 16 * 1024;
/// Delay after a failed `accept`, mostly for want of descriptors: some are free soon, and the loop must not spin.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Delay after a datagram could not be received, so that the loop does not spin.
pub const RECEIVE_PAUSE: Duration = Duration::from_millis(5);
/// How long new connections are still accepted after SIGTERM: they arrive for up to 0.4 s, and a relay that exits
/// sooner resets them.
pub const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// SIGKILL follows 0.7 s after the longest time that clients wait, or 3 s ([`MAX_SHUTDOWN_WAIT`]) if that is shorter;
/// the relay exits before that.
pub const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);
/// Longest time that clients are waited for during shutdown.
pub const MAX_SHUTDOWN_WAIT: Duration = Duration::from_secs(3);

/// A connection that was idle for less is kept in any case.
pub const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(25);
/// Idle connections of a duration are not kept after so many resets of reused ones, if they are also more than this
/// fraction of the reuses: a new connection costs the unit less than a lost request.
pub const MIN_RESETS: f64 = 4.0;
/// Fraction of the reuses that must have been reset; see [`MIN_RESETS`].
pub const MIN_RESET_FRACTION: f64 = 0.25;
/// After this time without a reuse of that duration, past resets are forgotten and such connections are tried again.
pub const RESET_RETENTION: Duration = Duration::from_secs(15);
/// Units and discovery write a response in one piece: after a pause of this length in the middle, the rest does not
/// come.
pub const BODY_READ_TIMEOUT: Duration = Duration::from_millis(150);
/// A connection is established within milliseconds or not at all. After this fraction of a dispatch's time-out the
/// attempt is given up, so that the task can be sent elsewhere in time.
pub const CONNECT_FRACTION: f64 = 0.25;
/// Stale pooled connections, one after the other, that are replaced before the last attempt of a dispatch.
pub const MAX_STALE_RETRIES: usize = 3;
/// Idle connections kept to one unit.
pub const MAX_IDLE_PER_UNIT: usize = 16;
/// Time for idle connections to other units to close where no descriptor is left; as this is local, it takes little
/// time.
pub const QUOTA_TIMEOUT: Duration = Duration::from_millis(50);
/// Dispatches in flight from here to one unit; a unit accepts a limited number of connections.
pub const MAX_CALLS_PER_UNIT: usize = 96;

/// How long a watch waits for a change: a change at discovery counts as announced 2 s after that, and after 6 s at
/// least.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Time beyond that wait after which discovery counts as silent, and the watch is repeated.
pub const WATCH_GRACE: Duration = Duration::from_millis(700);
/// Shortest time from one watch to the next; far below the 200 ms after which the watch counts as interrupted.
pub const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a failed watch; the next must follow within 200 ms.
pub const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Pings come each second; after this time without a line, a second connection is opened.
pub const PING_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for a connection to the platform or to discovery to be established, and for the platform to accept a written
/// line.
pub const CONTROL_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between connection attempts to the platform.
pub const PLATFORM_RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// How the descriptors are divided.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Descriptors for clients.
    pub clients: usize,
    /// Number of open connections from which there is pressure. Clients' front ends hold a third of a relay's
    /// descriptors at most: where connections stay idle after one request, they have none left for new requests.
    pub crowded_from: usize,
    /// Descriptors for units.
    pub units: usize,
}

/// Minimum number of descriptors with which a relay can serve.
pub const MIN_SOCKETS: usize = 64;
/// Descriptors reserved for discovery, the platform, peers, standard streams and the runtime.
const RESERVED_SOCKETS: usize = 32;

impl Budget {
    /// Clients get the larger share: a connection in the listen backlog is a task that counts as accepted.
    pub fn of(sockets: usize, table: Option<&ConnectionSettings>) -> Budget {
        let available = sockets.saturating_sub(RESERVED_SOCKETS);
        let Some(table) = table else {
            return Budget {
                clients: available * 3 / 5,
                crowded_from: sockets / 4,
                units: available * 2 / 5,
            };
        };
        let clients = (available as f64 * table.descriptors_part) as usize;
        // Where the operator lets clients keep connections, there is no pressure threshold: the longest parked
        // connection is closed where one is needed.
        Budget {
            clients,
            crowded_from: usize::MAX,
            units: available - clients,
        }
    }
}

/// Limits for clients' connections: as the operator's table states them, or else those for a platform that treats
/// every silence as a fault.
pub fn connection_limits(
    table: Option<&ConnectionSettings>,
    budget: Budget,
    settings: &Settings,
) -> Limits {
    let shortest_quoted_time = settings
        .tracks
        .iter()
        .map(|track| track.quoted_time)
        .min()
        .unwrap_or_default();
    let defaults = Limits {
        park: false,
        max_open: budget.clients,
        max_idle: budget.clients,
        first_byte_timeout: HEAD_TIMEOUT,
        idle_timeout: HEAD_TIMEOUT,
        head_timeout: HEAD_TIMEOUT,
        head_timeout_start: HeadTimeoutStart::Idle,
        expire_per_s: EXPIRE_PER_S,
        max_close_delay: MAX_CLOSE_DELAY,
        max_concurrent_reads: budget.clients,
        read_slot_timeout: READ_SLOT_TIMEOUT,
        queue_timeout: shortest_quoted_time.mul_f64(QUEUE_TIMEOUT_FRACTION),
        max_retry_after: if settings.may_set_retry_after {
            settings.max_retry_after
        } else {
            Duration::ZERO
        },
        pressure_threshold: budget.crowded_from,
        evict_after: EVICT_AFTER,
        drain_timeout: DRAIN_TIMEOUT,
        linger_timeout: LINGER_TIMEOUT,
    };
    let Some(table) = table else { return defaults };
    let seconds = Duration::from_secs_f64; // the ranges of the table's values are well within those of `Duration`
    let bytes_per_connection = if table.park {
        PARKED_CONNECTION_BYTES
    } else {
        OPEN_CONNECTION_BYTES
    };
    let max_idle = ((table.memory_mb * 1e6) as usize / bytes_per_connection)
        .min(table.most_parked as usize)
        .max(1);
    Limits {
        park: table.park,
        max_idle,
        first_byte_timeout: seconds(table.fresh_keep_s),
        idle_timeout: seconds(table.keep_s),
        head_timeout: seconds(table.head_wait_s),
        head_timeout_start: HeadTimeoutStart::FirstByte,
        expire_per_s: table.expire_per_s,
        max_close_delay: seconds(table.late_most_s),
        max_concurrent_reads: table.wakes_at_once as usize,
        queue_timeout: match table.wake_wait_ms {
            0.0 => defaults.queue_timeout,
            wait => seconds(wait / 1000.0),
        },
        ..defaults
    }
}
