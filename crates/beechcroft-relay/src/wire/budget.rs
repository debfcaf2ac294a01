//! What sockets alone need: parts of the descriptors, waits and sizes. Nothing here decides about tasks, units or
//! builds; the module does.

use beechcroft::Settings;
use beechcroft_connections::{HeadTimeoutStart, Limits, PARKED_CONNECTION_BYTES};
use beechcroft_operator::ConnectionSettings;
use std::time::Duration;

/// The protocol's longest body; what clients send beyond it is refused.
pub const BODY_MAX: usize = 64 * 1024;
/// Units answer with more than the protocol says, 384 KB were seen; beyond this it is no answer.
pub const ANSWER_MAX: usize = 1024 * 1024;
/// The longest `X-Txn` that is taken; the protocol's have 16 characters.
pub const TXN_MAX: usize = 128;
/// The longest hint of a task's work; no task takes as long, and times are added up.
pub const HINT_MAX: Duration = Duration::from_secs(3600);
/// Room for a message's head; ours are a few hundred bytes, and hyper asks for 8 KiB at least.
pub const HEAD_MAX: usize = 16 * 1024;
/// The whole list of a large fleet is about 200 bytes a unit.
pub const LIST_MAX: usize = 8 * 1024 * 1024;
/// A longer line ends the platform's own connections.
pub const LINE_MAX: usize = 8 * 1024;
/// The longest datagram between relays.
pub const NOTE_MAX: usize = 256;

/// A client that takes longer to send a head, or stays idle for longer, loses its connection. It may keep one without
/// an open request for 2 s, and is owed an end within 3 s of connecting.
pub const HEAD_WAIT: Duration = Duration::from_millis(2100);
/// For a body behind its head; both waits together stay below those 3 s.
pub const BODY_WAIT: Duration = Duration::from_millis(700);
/// Once the relay leaves, how long a connection may take that has not asked for anything: it may be about to.
pub const SILENT_WAIT: Duration = Duration::from_secs(1);
/// While clients crowd, and where room is needed, a connection without an open request is closed after this time: those
/// who ask need its place, and one that was to be used again mostly has been by then.
pub const CROWDED_WAIT: Duration = Duration::from_millis(150);
/// Without an operator's file: connections whose time is up are closed at this rate a second, or faster so that none is
/// this much late. With `HEAD_WAIT` that is still below the 3 s in which a silent client is owed an end.
pub const EXPIRE_PER_S: u32 = 1000;
pub const LATE_MOST: Duration = Duration::from_millis(300);
/// A connection whose first byte woke it counts as being read for so long: what was sent in one go is read in one turn.
pub const WAKE_HOLD: Duration = Duration::from_millis(50);
/// Of the shortest quoted time: what a client may stand in line to be read, if the operator states nothing. The other
/// half is for its task.
pub const WAKE_PART: f64 = 0.5;
/// For a client that was turned away to read why; closing at once could cost it the answer.
pub const CLOSING_WAIT: Duration = Duration::from_millis(500);
/// Connections accepted in one turn, so that those who were accepted get theirs.
pub const ACCEPTS: usize = 64;
/// How the kernel asks a client's machine whether it is still there, past the operator's `probe_s`.
pub const PROBE_GAP: Duration = Duration::from_secs(10);
pub const PROBES: u32 = 3;
/// What a connection that is not parked is reckoned to cost in user memory, bytes: hyper's buffers, its task, and the
/// runtime's place for its socket. Measured by the lab.
pub const HELD_BYTES: usize = 16 * 1024;
/// After an `accept` that failed, for want of descriptors above all: some are free soon, and no loop spins.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// After a datagram that could not be received, so that no loop spins.
pub const NOTE_PAUSE: Duration = Duration::from_millis(5);
/// New connections arrive for up to 0.4 s after SIGTERM; a relay that left sooner would reset them.
pub const LINGER: Duration = Duration::from_millis(700);
/// SIGKILL comes 0.7 s after the longest wait of clients, taken as 3 s where it is longer; we are gone sooner.
pub const LEAVE_MARGIN: Duration = Duration::from_millis(600);
pub const LEAVE_LONGEST: Duration = Duration::from_secs(3);

/// Idle for less, a connection is kept whatever was seen.
pub const KEEP_LEAST: Duration = Duration::from_millis(25);
/// So many resets of connections that lay idle for a like time, and this share of them, show that such are not worth
/// keeping: a new one costs its unit less than a request that is lost.
pub const KEEP_RESETS: f64 = 4.0;
pub const KEEP_SHARE: f64 = 0.25;
/// What was seen so long ago is tried again.
pub const KEEP_FORGET: Duration = Duration::from_secs(15);
/// Units and discovery write an answer in one go: where one pauses for longer in the middle, the rest does not come.
pub const ANSWER_GAP: Duration = Duration::from_millis(150);
/// A connection comes up within milliseconds or not at all. One that has taken this part of a dispatch's time is given
/// up, so that the task can go elsewhere in time.
pub const DIAL_PART: f64 = 0.25;
/// Kept connections that turn out unfit, one after the other, before a dispatch is given up.
pub const REPLACED: usize = 3;
/// Idle connections kept to one unit.
pub const KEEP_IDLE: usize = 16;
/// For idle connections of other units to close where no descriptor is left: a local matter, over at once.
pub const ROOM_WAIT: Duration = Duration::from_millis(50);
/// Dispatches that one unit may hold from here at once; a unit keeps a limited number of connections.
pub const UNIT_CALLS: usize = 96;

/// How long a watch waits for news: what discovery has to tell counts as told 2 s after that, and 6 s at least.
pub const WATCH_WAIT: Duration = Duration::from_secs(3);
/// Beyond that wait, discovery is silent, and is asked anew.
pub const WATCH_SLACK: Duration = Duration::from_millis(700);
/// From one watch to the next at least; far below the 200 ms after which a watch has a gap.
pub const WATCH_FLOOR: Duration = Duration::from_millis(20);
/// Between watches where one failed; the next is to follow within 200 ms.
pub const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// Pings come each second; after this many without a line another connection listens.
pub const PING_LAPSE: Duration = Duration::from_millis(2500);
/// For a connection of the platform's, or of discovery's, to come up, and for the platform to take a call.
pub const CONTROL_CONNECT: Duration = Duration::from_secs(1);
/// Between connections to the platform where one failed.
pub const PLATFORM_PAUSE: Duration = Duration::from_millis(200);

/// The parts of the descriptors.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    pub clients: usize,
    /// Clients crowd from so many connections on. Fronts hold a third of a relay's descriptors at most: they have none
    /// left for those who ask where some ask once and stay.
    pub crowd: usize,
    pub units: usize,
}

/// Below this many descriptors a relay cannot serve.
pub const SOCKETS_MIN: usize = 64;
/// Kept back for the list, the platform, peers, standard streams and the runtime.
const OTHERS: usize = 32;

impl Budget {
    /// Clients get the larger part: a connection in the backlog is a task that counts as taken.
    pub fn of(sockets: usize, table: Option<&ConnectionSettings>) -> Budget {
        let rest = sockets.saturating_sub(OTHERS);
        let Some(table) = table else {
            return Budget {
                clients: rest * 3 / 5,
                crowd: sockets / 4,
                units: rest * 2 / 5,
            };
        };
        let clients = (rest as f64 * table.descriptors_part) as usize;
        // Where the operator lets clients stay, they do not crowd: the longest parked makes room where it is needed.
        Budget {
            clients,
            crowd: usize::MAX,
            units: rest - clients,
        }
    }
}

/// What holds for clients' connections: as the operator's table states it, else what a platform that reads every silence
/// as a fault asks for.
pub fn limits(table: Option<&ConnectionSettings>, budget: Budget, settings: &Settings) -> Limits {
    let least = settings
        .tracks
        .iter()
        .map(|track| track.quoted_time)
        .min()
        .unwrap_or_default();
    let without = Limits {
        park: false,
        max_open: budget.clients,
        max_idle: budget.clients,
        first_byte_timeout: HEAD_WAIT,
        idle_timeout: HEAD_WAIT,
        head_timeout: HEAD_WAIT,
        head_timeout_start: HeadTimeoutStart::Idle,
        expire_per_s: EXPIRE_PER_S,
        max_close_delay: LATE_MOST,
        max_concurrent_reads: budget.clients,
        read_slot_timeout: WAKE_HOLD,
        queue_timeout: least.mul_f64(WAKE_PART),
        max_retry_after: if settings.may_set_retry_after {
            settings.max_retry_after
        } else {
            Duration::ZERO
        },
        pressure_threshold: budget.crowd,
        evict_after: CROWDED_WAIT,
        drain_timeout: SILENT_WAIT,
        linger_timeout: CLOSING_WAIT,
    };
    let Some(table) = table else { return without };
    let seconds = Duration::from_secs_f64; // the table's ranges are well within it
    let each = if table.park {
        PARKED_CONNECTION_BYTES
    } else {
        HELD_BYTES
    };
    let most_idle = ((table.memory_mb * 1e6) as usize / each)
        .min(table.most_parked as usize)
        .max(1);
    Limits {
        park: table.park,
        max_idle: most_idle,
        first_byte_timeout: seconds(table.fresh_keep_s),
        idle_timeout: seconds(table.keep_s),
        head_timeout: seconds(table.head_wait_s),
        head_timeout_start: HeadTimeoutStart::FirstByte,
        expire_per_s: table.expire_per_s,
        max_close_delay: seconds(table.late_most_s),
        max_concurrent_reads: table.wakes_at_once as usize,
        queue_timeout: match table.wake_wait_ms {
            0.0 => without.queue_timeout,
            wait => seconds(wait / 1000.0),
        },
        ..without
    }
}
