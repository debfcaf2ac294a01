//! The subcommand `idle`: relays share one core and hold many idle connections. Measures the memory and processor time
//! of a connection, and whether requests are still answered in time while all connections are idle, while many become
//! active at once and while many expire at once. Runs twice, with parking of idle connections on and off, for
//! comparison.

use crate::relay_load::{self, LoadResult};
use crate::{chart, probe};
use clap::Args;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::Duration;

/// Quoted time of the requests of the load.
const QUOTED_TIME: Duration = Duration::from_millis(600);
/// Endpoints that the relays send requests to.
const ENDPOINTS: usize = 8;
/// Requests on each warm-up connection. There are this many times fewer of these than idle connections, so that both
/// send the same number of requests.
const WARM_UP_REQUESTS: usize = 16;
/// Connections opened per millisecond, over all relays: as many as one core accepts before their backlogs overflow.
const OPENS_PER_MS: usize = 10;
/// First requests per millisecond, over all connections: as many as one core handles without failing any.
const REQUESTS_PER_MS: usize = 6;
/// Pause after which the decision module has dropped its statistics of earlier requests: it keeps them for 4 s
/// (`counted_over_s`).
const STATISTICS_EXPIRY: Duration = Duration::from_millis(4500);
/// Descriptors that a process may hold in the test environment. A relay is configured with 200 fewer, which it needs
/// for its own files and sockets.
const MAX_DESCRIPTORS: usize = 20_000;

#[derive(Args, Clone)]
pub struct Idle {
    /// Run the same steps with fewer connections and shorter loads, in less than 40 s.
    #[arg(long)]
    quick: bool,
    /// Idle connections over all relays; 100,000 by default, 8,000 with --quick.
    #[arg(long)]
    idle: Option<usize>,
    /// Relays that share one core; 6 by default, 1 with --quick. Each may hold 20,000 descriptors.
    #[arg(long)]
    relays: Option<usize>,
    /// Requests per second, over all relays.
    #[arg(long, default_value_t = 150.0)]
    rate: f64,
    /// Folder for the table, the JSON object and the charts.
    #[arg(long, value_name = "FOLDER", default_value = "target/lab/idle")]
    out: PathBuf,
    /// Path of the relay program.
    #[arg(long, value_name = "FILE", default_value = "target/release/beechcroft")]
    program: PathBuf,
}

/// Sizes of the steps of the experiment.
struct Sizes {
    relays: usize,
    /// Idle connections over all relays.
    idle: usize,
    /// Duration of a load.
    load: Duration,
    /// Time over which processor usage is measured while all connections are idle.
    quiet: Duration,
    /// Connections that become active within one second.
    waking: usize,
    /// Connections that expire within one second.
    expiring: usize,
}

impl Idle {
    fn sizes(&self) -> Sizes {
        let defaults = match self.quick {
            true => Sizes {
                relays: 1,
                idle: 8_000,
                load: Duration::from_millis(1200),
                quiet: Duration::from_millis(500),
                waking: 1_000,
                expiring: 3_000,
            },
            false => Sizes {
                relays: 6,
                idle: 100_000,
                load: Duration::from_secs(15),
                quiet: Duration::from_secs(5),
                waking: 10_000,
                expiring: 17_000,
            },
        };
        Sizes {
            relays: self.relays.unwrap_or(defaults.relays).max(1),
            idle: self.idle.unwrap_or(defaults.idle),
            ..defaults
        }
    }

    /// Runs the experiment with and without parking; writes the table, the JSON object and the charts.
    pub fn run(self) -> Result<(), String> {
        std::fs::create_dir_all(&self.out)
            .map_err(|error| format!("{}: {error}", self.out.display()))?;
        if !self.program.exists() {
            return Err(format!(
                "{}: relay program not found; run cargo build --release first",
                self.program.display()
            ));
        }
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
        let sizes = self.sizes();
        if sizes.idle / sizes.relays > MAX_DESCRIPTORS - 2000 {
            return Err(format!(
                "--idle {}: too many connections for {} relays with {MAX_DESCRIPTORS} descriptors each",
                sizes.idle, sizes.relays
            ));
        }
        let mut results = Vec::new();
        for park in [true, false] {
            results.push(
                Variant {
                    options: &self,
                    sizes: &sizes,
                    park,
                }
                .run(&runtime)?,
            );
        }
        self.write_results(&sizes, &results)
    }

    /// Prints the table and the JSON object; writes both and the charts to the output folder. `results` has two
    /// entries, the first with parking.
    fn write_results(&self, sizes: &Sizes, results: &[VariantResult]) -> Result<(), String> {
        let mut table = format!(
            "{} idle connections, {} relays on one core, {} tasks a second, quoted time {} ms\n\n| what | parked | not parked |\n| --- | --- | --- |\n",
            sizes.idle,
            sizes.relays,
            self.rate,
            QUOTED_TIME.as_millis()
        );
        let rows: Vec<&str> = results[0].figures.iter().map(|(name, _)| *name).collect();
        for name in rows {
            let figure = |result: &VariantResult| {
                result
                    .figures
                    .iter()
                    .find(|(other, _)| *other == name)
                    .map_or(String::new(), |(_, value)| show(value))
            };
            table += &format!(
                "| {name} | {} | {} |\n",
                figure(&results[0]),
                figure(&results[1])
            );
        }
        println!("{table}");
        let object = |result: &VariantResult| {
            Value::Object(
                result
                    .figures
                    .iter()
                    .map(|(name, value)| ((*name).to_owned(), value.clone()))
                    .collect(),
            )
        };
        let all = json!({"experiment": "idle", "idle": sizes.idle, "relays": sizes.relays, "rate": self.rate,
            "quick": self.quick, "parked": object(&results[0]), "not_parked": object(&results[1])});
        let write = |name: &str, text: &str| {
            let file = self.out.join(name);
            std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))
        };
        write("idle.md", &table)?;
        write("idle.json", &format!("{all}\n"))?;
        let series = |of_result: &dyn Fn(&VariantResult) -> Vec<chart::Series>| {
            results.iter().flat_map(of_result).collect::<Vec<_>>()
        };
        chart::write_lines(
            &self.out.join("idle-times.svg"),
            "Answer times of the load",
            "part of the tasks, of 1000",
            "ms",
            &series(&|result| result.latencies.clone()),
        )?;
        chart::write_lines(
            &self.out.join("idle-memory.svg"),
            "User memory while connections open",
            "connections of a relay",
            "MB grown",
            &series(&|result| vec![(result.name.to_owned(), result.memory.clone())]),
        )?;
        println!("{all}");
        Ok(())
    }
}

/// Formats a figure for the table.
fn show(value: &Value) -> String {
    match value.as_f64() {
        Some(number) if number.fract() == 0.0 => format!("{number:.0}"),
        Some(number) => format!("{number:.3}"),
        None => value.to_string(),
    }
}

/// Results of one variant.
struct VariantResult {
    name: &'static str,
    /// Rows of the table: title and value.
    figures: Vec<(&'static str, Value)>,
    /// Latency quantiles of each load.
    latencies: Vec<chart::Series>,
    /// Growth of a relay's memory in MB by its number of connections.
    memory: Vec<(f64, f64)>,
}

/// A child process that is killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts this program in one of its hidden roles.
fn spawn_role(args: &[&str]) -> Result<Process, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let spawned = Command::new(own)
        .arg("role")
        .args(args)
        .env("RUST_LOG", "warn")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn();
    spawned
        .map(Process)
        .map_err(|error| format!("role {args:?}: {error}"))
}

/// The holder process of one relay; see `holder` for its commands.
struct Holder {
    _process: Process,
    commands: ChildStdin,
    replies: BufReader<ChildStdout>,
}

impl Holder {
    fn start(address: SocketAddr) -> Result<Holder, String> {
        let mut process = spawn_role(&["holder", &address.to_string()])?;
        let commands = process.0.stdin.take().ok_or("holder: no standard input")?;
        let replies = BufReader::new(
            process
                .0
                .stdout
                .take()
                .ok_or("holder: no standard output")?,
        );
        Ok(Holder {
            _process: process,
            commands,
            replies,
        })
    }

    fn send(&mut self, command: &str) -> Result<(), String> {
        writeln!(self.commands, "{command}").map_err(|error| format!("holder: {error}"))
    }

    fn read_reply(&mut self) -> Result<Value, String> {
        let mut line = String::new();
        self.replies
            .read_line(&mut line)
            .map_err(|error| format!("holder: {error}"))?;
        serde_json::from_str(&line).map_err(|error| format!("holder: {line}: {error}"))
    }
}

/// Sends a command to every holder before it waits for the replies, so that they work in parallel.
fn command_all(
    holders: &mut [Holder],
    command: impl Fn(usize) -> String,
) -> Result<Vec<Value>, String> {
    for (nth, holder) in holders.iter_mut().enumerate() {
        holder.send(&command(nth))?;
    }
    holders.iter_mut().map(Holder::read_reply).collect()
}

/// A relay process under test.
struct Relay {
    process: Process,
    address: SocketAddr,
    /// Bytes allocated as last printed by the relay; only if it runs with counted allocations.
    allocated_bytes: Option<std::sync::Arc<std::sync::atomic::AtomicI64>>,
}

impl Relay {
    fn pid(&self) -> u32 {
        self.process.0.id()
    }

    fn allocated(&self) -> Option<i64> {
        self.allocated_bytes
            .as_ref()
            .map(|count| count.load(std::sync::atomic::Ordering::Relaxed))
    }
}

/// One run of the experiment, with parking on or off.
struct Variant<'a> {
    options: &'a Idle,
    sizes: &'a Sizes,
    park: bool,
}

impl Variant<'_> {
    fn name(&self) -> &'static str {
        if self.park {
            "parked"
        } else {
            "not parked"
        }
    }

    /// Starts relay number `nth` on core 0 and waits until it answers its health check. `timeouts` are lines of the
    /// `[connections]` table of its operator file.
    fn start_relay(&self, nth: usize, discovery: &str, timeouts: &str) -> Result<Relay, String> {
        let listen =
            std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let listen = listen.map_err(|error| format!("listen: {error}"))?;
        let mut settings: Value = serde_json::from_str(include_str!("settings.json"))
            .map_err(|error| error.to_string())?;
        (settings["me"], settings["instances"]) = (json!(nth), json!(self.sizes.relays));
        settings["classes"][0]["aim_s"] = json!(QUOTED_TIME.as_secs_f64());
        let config = json!({"name": format!("lab-{nth}"), "listen": listen, "discovery": discovery, "seed": format!("{nth:x}"),
            "limits": {"sockets": MAX_DESCRIPTORS - 200}, "settings": settings});
        let operator = format!(
            "[connections]\npark = {}\n{timeouts}descriptors_part = 0.95\nmemory_mb = 65536\n",
            self.park
        );
        let file = |suffix: &str, text: &str| {
            let file = self.options.out.join(format!("relay-{nth}.{suffix}"));
            std::fs::write(&file, text)
                .map(|()| file.display().to_string())
                .map_err(|error| format!("{}: {error}", file.display()))
        };
        let (config, operator) = (file("json", &config.to_string())?, file("toml", &operator)?);
        // The first relay runs in this program, whose allocator counts bytes; the others run the program from
        // `--program`.
        let (process, allocated_bytes) = if nth == 0 {
            let mut process = spawn_role(&["relay", &config, &operator])?;
            let lines = BufReader::new(process.0.stdout.take().ok_or("relay: no standard output")?);
            let count = std::sync::Arc::new(std::sync::atomic::AtomicI64::new(0));
            let latest = count.clone();
            std::thread::spawn(move || {
                for line in lines.lines().map_while(Result::ok) {
                    latest.store(
                        line.parse().unwrap_or_default(),
                        std::sync::atomic::Ordering::Relaxed,
                    );
                }
            });
            (process, Some(count))
        } else {
            let spawned = Command::new(&self.options.program)
                .args(["relay", "--config", &config, "--operator", &operator])
                .env("RUST_LOG", "warn")
                .spawn();
            (
                spawned
                    .map(Process)
                    .map_err(|error| format!("{}: {error}", self.options.program.display()))?,
                None,
            )
        };
        let mut core = rustix::thread::CpuSet::new();
        core.set(0);
        let pid = rustix::process::Pid::from_raw(process.0.id() as i32);
        rustix::thread::sched_setaffinity(pid, &core)
            .map_err(|error| format!("core 0: {error}"))?;
        let relay = Relay {
            process,
            address: listen,
            allocated_bytes,
        };
        for _ in 0..500 {
            if let Ok(mut stream) = std::net::TcpStream::connect(listen) {
                let mut text = [0; 12];
                let sent = stream
                    .write_all(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
                    .is_ok();
                if sent
                    && std::io::Read::read_exact(&mut stream, &mut text).is_ok()
                    && text.ends_with(b"200")
                {
                    return Ok(relay);
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!(
            "relay {nth} did not pass its health check on {listen} within 500 attempts"
        ))
    }

    /// Starts all relays, one after the other.
    fn start_relays(&self, discovery: &str, timeouts: &str) -> Result<Vec<Relay>, String> {
        (0..self.sizes.relays)
            .map(|nth| self.start_relay(nth, discovery, timeouts))
            .collect()
    }

    /// Executes all steps in order; each prints a line to standard error as it begins.
    fn run(&self, runtime: &tokio::runtime::Runtime) -> Result<VariantResult, String> {
        let Sizes {
            idle,
            load,
            quiet,
            waking,
            expiring,
            ..
        } = *self.sizes;
        let rate = self.options.rate;
        let step = |what: &str| eprintln!("{}: {what}", self.name());
        let mut fleet = spawn_role(&["fleet", &ENDPOINTS.to_string()])?;
        let mut discovery = String::new();
        let output = fleet.0.stdout.take().ok_or("fleet: no standard output")?;
        BufReader::new(output)
            .read_line(&mut discovery)
            .map_err(|error| format!("fleet: {error}"))?;
        let discovery = discovery.trim();

        step("relays start");
        let relays = self.start_relays(discovery, "keep_s = 3600\nfresh_keep_s = 3600\n")?;
        let addresses: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
        // The first load fills buffers and the decision module's memory; its results are discarded.
        runtime.block_on(relay_load::run(&addresses, rate, load / 2, "warm"));
        step("load with none idle");
        let none = runtime.block_on(relay_load::run(&addresses, rate, load, "none"));

        step("connections open, each asks once");
        let mut holders = addresses
            .iter()
            .map(|&address| Holder::start(address))
            .collect::<Result<Vec<_>, _>>()?;
        std::thread::sleep(Duration::from_millis(600));
        let per_relay = idle / relays.len();
        // Warm-up: as many requests at the same rate, on a few connections that are closed again. The memory that these
        // leave behind, mostly the decision module's statistics windows, is due to requests and must not count for
        // connections.
        let mut warm_up = addresses
            .iter()
            .map(|&address| Holder::start(address))
            .collect::<Result<Vec<_>, _>>()?;
        command_all(&mut warm_up, |_| {
            format!(
                "open {} {}",
                per_relay.div_ceil(WARM_UP_REQUESTS),
                idle.div_ceil(WARM_UP_REQUESTS) / OPENS_PER_MS
            )
        })?;
        for round in 0..WARM_UP_REQUESTS {
            command_all(&mut warm_up, |nth| {
                format!(
                    "ask {} {} few{nth}-{round}",
                    per_relay.div_ceil(WARM_UP_REQUESTS),
                    idle / REQUESTS_PER_MS / WARM_UP_REQUESTS
                )
            })?;
        }
        drop(warm_up);
        std::thread::sleep(if self.park || !self.options.quick {
            STATISTICS_EXPIRY
        } else {
            Duration::from_millis(600)
        });
        let before = usage(&relays)?;
        let (allocated, kernel) = (relays[0].allocated(), probe::kernel_slab());
        let mut memory = vec![(0.0, 0.0)];
        let parts = 8;
        let mut first_replies = Vec::new();
        for part in 1..=parts {
            command_all(&mut holders, |_| {
                format!(
                    "open {} {}",
                    per_relay * part / parts - per_relay * (part - 1) / parts,
                    idle / parts / OPENS_PER_MS
                )
            })?;
            let growth = usage(&relays)?
                .iter()
                .zip(&before)
                .map(|(now, earlier)| now.memory.saturating_sub(earlier.memory))
                .max();
            memory.push((
                (per_relay * part / parts) as f64,
                growth.unwrap_or_default() as f64 / 1e6,
            ));
        }
        let allocated_per_connection = |relays: &[Relay]| {
            relays[0]
                .allocated()
                .zip(allocated)
                .map(|(now, earlier)| (now - earlier) as f64 / per_relay as f64)
        };
        std::thread::sleep(Duration::from_millis(600));
        let allocated_when_opened = allocated_per_connection(&relays);
        first_replies.extend(command_all(&mut holders, |nth| {
            format!("ask {per_relay} {} first{nth}", idle / REQUESTS_PER_MS)
        })?);
        std::thread::sleep(Duration::from_millis(600));
        let after = usage(&relays)?;
        let connections = per_relay as f64;
        let growth_per_connection: Vec<f64> = after
            .iter()
            .zip(&before)
            .map(|(now, earlier)| (now.memory as f64 - earlier.memory as f64) / connections)
            .collect();
        let allocated_after_request = allocated_per_connection(&relays);
        let kernel =
            (probe::kernel_slab() as f64 - kernel as f64) / (connections * relays.len() as f64);

        let timers = probe::active_timers(relays[0].address.port());
        step("all are quiet");
        let earlier = usage(&relays)?;
        std::thread::sleep(quiet);
        let cpu_time: Duration = usage(&relays)?
            .iter()
            .zip(&earlier)
            .map(|(now, earlier)| now.cpu_time - earlier.cpu_time)
            .sum();
        step("load with all idle");
        let full = runtime.block_on(relay_load::run(&addresses, rate, load, "full"));

        step("many wake in one second");
        let waking_per_relay = waking / relays.len();
        let (burst, burst_replies) = std::thread::scope(|scope| {
            let waker = scope.spawn(|| {
                std::thread::sleep(Duration::from_millis(500));
                command_all(&mut holders, |nth| {
                    format!("ask {waking_per_relay} 1000 wake{nth}")
                })
            });
            let result = runtime.block_on(relay_load::run(
                &addresses,
                rate,
                load.min(Duration::from_secs(5)),
                "burst",
            ));
            waker
                .join()
                .map_err(|_| "holder: control thread panicked".to_owned())?
                .map(|replies| (result, replies))
        })?;
        drop(holders);
        drop(relays);

        step("many expire in one second");
        let idle_timeout = Duration::from_secs(if self.options.quick { 2 } else { 6 });
        let relays = self.start_relays(
            discovery,
            &format!("keep_s = 3600\nfresh_keep_s = {}\n", idle_timeout.as_secs()),
        )?;
        let addresses: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
        runtime.block_on(relay_load::run(&addresses, rate, load / 4, "warm"));
        let mut holders = addresses
            .iter()
            .map(|&address| Holder::start(address))
            .collect::<Result<Vec<_>, _>>()?;
        let expiring_per_relay = expiring / relays.len();
        command_all(&mut holders, |_| format!("open {expiring_per_relay} 1000"))?;
        std::thread::sleep(idle_timeout.saturating_sub(Duration::from_millis(1500)));
        let expiry = runtime.block_on(relay_load::run(
            &addresses,
            rate,
            load.clamp(Duration::from_secs(2), Duration::from_secs(15)),
            "expiry",
        ));
        let closed: u64 = command_all(&mut holders, |_| "closed".to_owned())?
            .iter()
            .filter_map(|reply| reply["closed"].as_u64())
            .sum();

        let latencies = [
            ("none idle", &none),
            ("all idle", &full),
            ("burst", &burst),
            ("expiry", &expiry),
        ];
        let figures = vec![
            (
                "user memory a connection, bytes (growth of RssAnon, worst relay)",
                json!(growth_per_connection
                    .iter()
                    .copied()
                    .fold(0.0, f64::max)
                    .round()),
            ),
            (
                "the same by the allocator's own count",
                json!(allocated_after_request.map(f64::round)),
            ),
            (
                "the same before any has asked",
                json!(allocated_when_opened.map(f64::round)),
            ),
            (
                "kernel memory a connection, bytes (slab of both ends)",
                json!(kernel.round()),
            ),
            (
                "kernel timers on idle connections, of the first relay's",
                json!(timers),
            ),
            (
                "processor while all are quiet, part of a core",
                json!(cpu_time.as_secs_f64() / quiet.as_secs_f64()),
            ),
            ("first answers", answers_by_status(&first_replies)),
            ("none idle: p50 ms", json!(none.quantile(0.5))),
            ("none idle: p99 ms", json!(none.quantile(0.99))),
            ("all idle: p50 ms", json!(full.quantile(0.5))),
            ("all idle: p99 ms", json!(full.quantile(0.99))),
            (
                "all idle: within the quoted time",
                json!(full.within(QUOTED_TIME)),
            ),
            (
                "all idle: p99 to that with none",
                json!(full.quantile(0.99) / none.quantile(0.99)),
            ),
            (
                "burst: woken in one second",
                json!(requests_sent(&burst_replies)),
            ),
            ("burst: answers", answers_by_status(&burst_replies)),
            (
                "burst: more than one answer",
                json!(burst_replies
                    .iter()
                    .filter_map(|reply| reply["twice"].as_u64())
                    .sum::<u64>()),
            ),
            (
                "burst: p99 ms of the other tasks",
                json!(burst.quantile(0.99)),
            ),
            (
                "burst: p99 to that with none",
                json!(burst.quantile(0.99) / none.quantile(0.99)),
            ),
            (
                "burst: other tasks within the quoted time",
                json!(burst.within(QUOTED_TIME)),
            ),
            (
                "expiry: connections due in one second",
                json!(expiring_per_relay * relays.len()),
            ),
            ("expiry: closed by the end", json!(closed)),
            ("expiry: p99 ms of the tasks", json!(expiry.quantile(0.99))),
            (
                "expiry: p99 to that with none",
                json!(expiry.quantile(0.99) / none.quantile(0.99)),
            ),
            (
                "expiry: within the quoted time",
                json!(expiry.within(QUOTED_TIME)),
            ),
        ];
        let latencies = latencies.map(|(name, result): (&str, &LoadResult)| {
            let points = (0..=999)
                .step_by(3)
                .map(|part| (f64::from(part), result.quantile(f64::from(part) / 1000.0)));
            (format!("{}, {name}", self.name()), points.collect())
        });
        Ok(VariantResult {
            name: self.name(),
            figures,
            latencies: latencies.into(),
            memory,
        })
    }
}

/// Resource usage of all relays.
fn usage(relays: &[Relay]) -> Result<Vec<probe::ProcessUsage>, String> {
    relays
        .iter()
        .map(|relay| probe::process_usage(relay.pid()))
        .collect()
}

/// Responses by status, summed over the replies of all holders.
fn answers_by_status(replies: &[Value]) -> Value {
    let mut by_status = std::collections::BTreeMap::<String, u64>::new();
    for (status, count) in replies
        .iter()
        .filter_map(|reply| reply["answers"].as_object())
        .flatten()
    {
        *by_status.entry(status.clone()).or_default() += count.as_u64().unwrap_or_default();
    }
    json!(by_status)
}

/// Requests sent, summed over the replies of all holders.
fn requests_sent(replies: &[Value]) -> u64 {
    replies
        .iter()
        .filter_map(|reply| reply["asked"].as_u64())
        .sum()
}
