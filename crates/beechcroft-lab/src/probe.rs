//! What is read off a process: memory, time on the processor, the allocator's own count.

use beechcroft_relay::lifecycle::command::Files;
use beechcroft_relay::lifecycle::config::Precedence;
use beechcroft_relay::lifecycle::logs::{self, Format};
use beechcroft_relay::lifecycle::{run, signals::Signals};
use std::path::Path;
use std::time::Duration;

/// What the kernel says of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// Resident memory of its own, bytes (`RssAnon`: without files mapped).
    pub memory: u64,
    /// Time on processors since its start.
    pub processor: Duration,
}

pub fn read(pid: u32) -> Result<Reading, String> {
    let file = |name: &str| {
        let path = format!("/proc/{pid}/{name}");
        std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))
    };
    let status = file("status")?;
    let memory = figure(&status, "RssAnon:").ok_or("RssAnon: not told by this kernel")? * 1024;
    let stat = file("stat")?;
    // Fields 14 and 15, counted behind the name in parentheses, in ticks of 10 ms.
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
    Ok(Reading {
        memory,
        processor: Duration::from_millis((ticks(11) + ticks(12)) * 10),
    })
}

/// Kernel memory of the whole machine that sockets may lie in, bytes.
pub fn kernel() -> u64 {
    let table = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    figure(&table, "Slab:").unwrap_or_default() * 1024
}

/// Established connections at a local port on which the kernel has a timer running (the field `tr` of its table).
pub fn timers(port: u16) -> usize {
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

fn figure(table: &str, name: &str) -> Option<u64> {
    table
        .lines()
        .find_map(|line| line.strip_prefix(name))?
        .split_whitespace()
        .next()?
        .parse()
        .ok()
}

/// Bytes that this process holds now by its allocator's count. What a reallocation adds or takes is in both sums already.
pub fn allocated() -> i64 {
    let stats = crate::ALLOCATED.stats();
    stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
}

/// How often a counting relay says what it has allocated.
const SAYS: Duration = Duration::from_millis(250);

/// A relay as `beechcroft` is one, which says on standard output how many bytes it has allocated.
pub fn relay(config: &Path, operator: &Path) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
    let signals = {
        let _entered = runtime.enter();
        Signals::install().map_err(|error| format!("signals: {error}"))?
    };
    let _lines = logs::init(Format::Text);
    let files = Files {
        config: Some(config.to_owned()),
        operator: Some(operator.to_owned()),
    };
    let (read, operator) = (files.config(Precedence::File)?, files.operator()?);
    std::thread::spawn(|| loop {
        println!("{}", allocated());
        std::thread::sleep(SAYS);
    });
    runtime.block_on(run::run(read, operator, signals, || {
        files.config(Precedence::File)
    }))
}
