//! Resource usage of processes, for the `idle` and `ways` experiments: memory and processor time from `/proc`, and the
//! allocator's own count of bytes.

use beechcroft_relay::lifecycle::command::Files;
use beechcroft_relay::lifecycle::config::Precedence;
use beechcroft_relay::lifecycle::logs::{self, Format};
use beechcroft_relay::lifecycle::{run, signals::Signals};
use std::path::Path;
use std::time::Duration;

/// Resource usage of a process, as the kernel reports it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Anonymous resident memory, in bytes (`RssAnon`: without mapped files).
    pub memory: u64,
    /// Processor time since the process started, user and system.
    pub cpu_time: Duration,
}

/// Reads the usage of a process from `/proc`.
pub fn process_usage(pid: u32) -> Result<ProcessUsage, String> {
    let file = |name: &str| {
        let path = format!("/proc/{pid}/{name}");
        std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))
    };
    let status = file("status")?;
    let memory = field(&status, "RssAnon:").ok_or("RssAnon: not reported by this kernel")? * 1024;
    let stat = file("stat")?;
    // utime and stime, fields 14 and 15, in ticks of 10 ms. Fields are counted from behind the process name, which is
    // in parentheses and may contain spaces.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|field| field.parse::<u64>().ok())
            .unwrap_or_default()
    };
    Ok(ProcessUsage {
        memory,
        cpu_time: Duration::from_millis((ticks(11) + ticks(12)) * 10),
    })
}

/// Slab memory of the kernel for the whole machine, in bytes; it includes the memory of sockets.
pub fn kernel_slab() -> u64 {
    let table = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    field(&table, "Slab:").unwrap_or_default() * 1024
}

/// Number of established connections at a local port for which a kernel timer is running (the field `tr` of
/// `/proc/net/tcp`).
pub fn active_timers(port: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let local = format!(":{port:04X}");
    let fields = table
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let own = fields
        .filter(|fields| fields.len() > 5 && fields[1].ends_with(&local) && fields[3] == "01");
    own.filter(|fields| !fields[5].starts_with("00:")).count()
}

fn field(table: &str, name: &str) -> Option<u64> {
    table
        .lines()
        .find_map(|line| line.strip_prefix(name))?
        .split_whitespace()
        .next()?
        .parse()
        .ok()
}

/// Bytes currently allocated in this process, by its allocator's count. The counts of allocated and deallocated bytes
/// already include growth and shrinkage by reallocation.
pub fn allocated_bytes() -> i64 {
    let stats = crate::ALLOCATED.stats();
    stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
}

/// Interval at which the relay with counted allocations prints its count.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Runs a relay as the `beechcroft` program does, and prints the number of allocated bytes to standard output, one line
/// every 250 ms.
pub fn run_relay(config: &Path, operator: &Path) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
    let signals = {
        let _entered = runtime.enter();
        Signals::install().map_err(|error| format!("signals: {error}"))?
    };
    let _logger = logs::init(Format::Text);
    let files = Files {
        config: Some(config.to_owned()),
        operator: Some(operator.to_owned()),
    };
    let (read, operator) = (files.config(Precedence::File)?, files.operator()?);
    std::thread::spawn(|| loop {
        println!("{}", allocated_bytes());
        std::thread::sleep(REPORT_INTERVAL);
    });
    runtime.block_on(run::run(read, operator, signals, || {
        files.config(Precedence::File)
    }))
}
