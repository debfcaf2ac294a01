//! The simulator's line protocol. Each line is decoded into one call of a relay, whose actions are written as reply
//! lines. Called by `main` with standard input and output.

use beechcroft::decide::Relay;
use beechcroft::*;
use beechcroft_fleet::load::valid_load;
use beechcroft_settings::NamedSettings;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::str::FromStr;
use std::time::Duration;

/// One line: the name of a message and its `field=value` pairs, which are looked up without copying.
struct Line<'a> {
    name: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    fn get(&self, field: &str) -> Option<&'a str> {
        self.rest
            .split(' ')
            .find_map(|part| part.strip_prefix(field)?.strip_prefix('='))
    }
    fn text(&self, field: &str) -> Result<&'a str, String> {
        self.get(field)
            .filter(|text| !text.is_empty())
            .ok_or_else(|| format!("{field}: missing"))
    }
    fn opt<T: FromStr>(&self, field: &str) -> Result<Option<T>, String> {
        match self.get(field) {
            None => Ok(None),
            Some(text) => text
                .parse()
                .map(Some)
                .map_err(|_| format!("{field}: malformed '{text}'")),
        }
    }
    fn num<T: FromStr>(&self, field: &str) -> Result<T, String> {
        self.opt(field)?.ok_or_else(|| format!("{field}: missing"))
    }
    fn real(&self, field: &str) -> Result<f64, String> {
        let value: f64 = self.num(field)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("{field}: malformed '{value}'"))
        }
    }
    /// A duration in seconds; a negative one counts as zero.
    fn duration(&self, field: &str) -> Result<Duration, String> {
        let value = self.real(field)?;
        Duration::try_from_secs_f64(value.max(0.0))
            .map_err(|_| format!("{field}: malformed '{value}'"))
    }
    fn flag(&self, field: &str) -> Result<bool, String> {
        match self.get(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(text) => Err(format!("{field}: malformed '{text}'")),
        }
    }
    fn task(&self) -> Result<TaskId, String> {
        self.text("tid").map(|text| TaskId(SmolStr::new(text)))
    }
    fn unit(&self) -> Result<UnitId, String> {
        self.text("unit").map(|text| UnitId(SmolStr::new(text)))
    }
    fn outcome(&self) -> Result<Outcome, String> {
        Ok(match self.num("verdict")? {
            1u8 => Outcome::Ok,
            2 => Outcome::Error,
            3 => Outcome::Full,
            4 => Outcome::TimeOut,
            5 => Outcome::ConnectFailed,
            6 => Outcome::Reset,
            7 => Outcome::Abandoned,
            8 => Outcome::Moot,
            other => return Err(format!("verdict: malformed '{other}'")),
        })
    }
    /// The position of a field's value among the names of the settings, if it is one of them.
    fn known_position(&self, field: &str, names: &[String]) -> Option<usize> {
        let text = self.get(field)?;
        names.iter().position(|name| name == text)
    }
    /// The same; an unknown value is an error.
    fn position(&self, field: &str, names: &[String]) -> Result<usize, String> {
        let text = self.text(field)?;
        self.known_position(field, names)
            .ok_or_else(|| format!("{field}: unknown '{text}'"))
    }
    fn health(&self) -> Result<Health, String> {
        Ok(match self.text("health")? {
            "ready" => Health::Ready,
            "draining" => Health::Draining,
            "gone" => Health::Gone,
            other => return Err(format!("health: malformed '{other}'")),
        })
    }
    /// Number of tasks that the unit holds, if its load report states it as `rif`.
    fn reported_load(&self) -> Result<Option<f64>, String> {
        let pairs = self
            .get("usage")
            .filter(|text| !text.is_empty() && *text != "-");
        let mut held = None;
        for pair in pairs.into_iter().flat_map(|text| text.split(',')) {
            let value = pair
                .split_once(':')
                .and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
            let (name, value) = value.ok_or_else(|| format!("usage: malformed '{pair}'"))?;
            held = if name == "rif" {
                valid_load(value)
            } else {
                held
            };
        }
        Ok(held)
    }
    fn payload(&self) -> Result<Vec<u8>, String> {
        let text = self.text("payload")?;
        if text == "-" {
            return Ok(Vec::new());
        }
        let digits = text.as_bytes();
        let malformed = || format!("payload: malformed '{text}'");
        if !digits.len().is_multiple_of(2) || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(malformed());
        }
        let pairs = digits
            .chunks_exact(2)
            .map(|pair| std::str::from_utf8(pair).unwrap_or(""));
        pairs
            .map(|pair| u8::from_str_radix(pair, 16).map_err(|_| malformed()))
            .collect()
    }
}

/// Writes the actions of one relay as reply lines.
struct Reply<'a> {
    who: u32,
    out: &'a mut String,
}

impl Reply<'_> {
    fn line(&mut self, rest: std::fmt::Arguments) {
        let _ = self.out.write_fmt(rest);
        let _ = writeln!(self.out, " who={}", self.who);
    }
}

/// Seconds, rounded down to microseconds.
fn seconds(span: Duration) -> f64 {
    span.as_micros() as f64 / 1e6
}

impl Actions for Reply<'_> {
    fn dispatch(&mut self, task: &TaskId, unit: &UnitId, time_out: Duration) {
        self.line(format_args!(
            "ROUTE tid={} cap_s={} unit={}",
            task.0,
            seconds(time_out),
            unit.0
        ));
    }
    fn nack(&mut self, task: &TaskId, retry_after: Duration) {
        self.line(format_args!(
            "DENY tid={} hold_off_s={}",
            task.0,
            seconds(retry_after)
        ));
    }
    fn terminate(&mut self, task: &TaskId) {
        self.line(format_args!("LOSE tid={}", task.0));
    }
    fn cancel(&mut self, task: &TaskId, dispatch: DispatchNo) {
        self.line(format_args!("ABANDON tid={} trial={}", task.0, dispatch.0));
    }
    fn send_to_peers(&mut self, peer: Option<PeerId>, payload: &[u8]) {
        let mut hex = String::with_capacity(payload.len() * 2);
        for byte in payload {
            let _ = write!(hex, "{byte:02x}");
        }
        match peer {
            Some(peer) => self.line(format_args!(
                "PUBLISH neighbour_id={} payload={hex}",
                peer.0
            )),
            None => self.line(format_args!("PUBLISH neighbour_id=* payload={hex}")),
        }
    }
    fn vote(&mut self, build: BuildId, stage: Stage, vote: Vote) {
        let code = match vote {
            Vote::Nothing => 0,
            Vote::On => 1,
            Vote::Hold => 2,
            Vote::Back => 3,
        };
        self.line(format_args!(
            "VERDICT ver={} wave={} code={code}",
            build.0, stage.0
        ));
    }
    fn set_timer(&mut self, after: Duration, timer: TimerId) {
        self.line(format_args!(
            "WAKE_AT delay_s={} ref={}",
            seconds(after),
            timer.0
        ));
    }
    fn watch_units(&mut self) {
        self.line(format_args!("TAIL want=1"));
    }
    fn log(&mut self, line: &str) {
        let _ = writeln!(self.out, "RECORD who={} what={line}", self.who);
    }
}

/// The entries of a list, kept as text until a relay is sent the list.
type Roster = Vec<String>;

/// One relay, with the names of its settings.
struct Instance {
    relay: Relay,
    names: NamedSettings,
}

/// All relays that the simulator has started.
#[derive(Default)]
struct Host {
    /// Time of the current batch.
    now: Duration,
    /// Lists of units, by the simulator's number.
    rosters: BTreeMap<u8, Roster>,
    /// Relays, by the simulator's number.
    instances: BTreeMap<u32, Instance>,
    /// Replies to the current batch.
    out: String,
}

/// Answers batches until the input ends. An error names the line, the message and the field.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let (mut text, mut number, mut in_batch) = (String::new(), 0u64, false);
    let mut pending: Option<(u8, usize)> = None;
    loop {
        text.clear();
        let read = input
            .read_line(&mut text)
            .map_err(|error| format!("line {}: {error}", number + 1))?;
        if read == 0 {
            let open = in_batch.then(|| format!("line {number}: input ends inside a batch"));
            return open.map_or(Ok(()), Err);
        }
        number += 1;
        let content = text.trim_end_matches(['\n', '\r']);
        let (name, rest) = content.split_once(' ').unwrap_or((content, ""));
        let line = Line { name, rest };
        let located = |what: String| format!("line {number}: {name}: {what}");
        if let Some((roster, left)) = pending {
            if name != "M" {
                return Err(located(format!("entries: {left} more expected")));
            }
            host.check_entry(&line).map_err(located)?;
            host.rosters
                .entry(roster)
                .or_default()
                .push(rest.to_owned());
            pending = (left > 1).then_some((roster, left - 1));
            continue;
        }
        match (name, in_batch) {
            ("", false) => {}
            ("FRAME", false) => {
                host.now = line.duration("moment_s").map_err(located)?;
                in_batch = true;
            }
            ("GO", true) => {
                in_batch = false;
                host.out.push_str("FINISHED\n");
                let sent = output
                    .write_all(host.out.as_bytes())
                    .and_then(|()| output.flush());
                sent.map_err(|error| located(error.to_string()))?;
                host.out.clear();
            }
            ("MANIFEST", true) => {
                let roster: u8 = line.num("roster_id").map_err(located)?;
                let entries: usize = line.num("entries").map_err(located)?;
                host.rosters
                    .insert(roster, Vec::with_capacity(entries.min(4096)));
                pending = (entries > 0).then_some((roster, entries));
            }
            (_, true) => host.event(&line).map_err(located)?,
            (_, false) => return Err(located("outside a batch".to_owned())),
        }
    }
}

impl Host {
    /// Checks an entry of a list, so that a malformed one is reported with its own line.
    fn check_entry(&self, line: &Line) -> Result<(), String> {
        line.unit()?;
        line.num::<f64>("runs")?;
        line.opt::<f64>("nominal")?;
        line.opt::<f64>("started_at_s")?;
        line.opt::<u64>("pod")?;
        line.health().map(drop)
    }

    /// Passes a message to its relay. A panic there ends that relay only, and is reported as `BUG`.
    fn event(&mut self, line: &Line) -> Result<(), String> {
        let known = [
            "BOOT",
            "EXIT",
            "TARGETS",
            "INBOUND",
            "HEADERS",
            "REPORT_BACK",
            "CLIENT_LEFT",
            "FIRED",
            "ECHO",
            "NOTE_FROM",
            "PROMOTION",
            "PLATFORM_SAW",
            "COMPLAINT",
        ];
        if !known.contains(&line.name) {
            return Err("unknown message".to_owned());
        }
        let who: u32 = line.num("who")?;
        if line.name == "EXIT" {
            self.instances.remove(&who);
            return Ok(());
        }
        let start = self.out.len();
        let mut instances = std::mem::take(&mut self.instances);
        let result = catch_unwind(AssertUnwindSafe(|| self.deliver(who, line, &mut instances)));
        self.instances = instances;
        result.unwrap_or_else(|panic| {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text
                .or(panic.downcast_ref::<&str>().copied())
                .unwrap_or("panic");
            self.out.truncate(start);
            let _ = writeln!(self.out, "BUG who={who} what={}", text.replace('\n', " "));
            self.instances.remove(&who);
            Ok(())
        })
    }

    fn deliver(
        &mut self,
        who: u32,
        line: &Line,
        instances: &mut BTreeMap<u32, Instance>,
    ) -> Result<(), String> {
        let actions = &mut Reply {
            who,
            out: &mut self.out,
        };
        if line.name == "BOOT" {
            let seed: i128 = line.num("salt")?;
            let at = line.rest.find("params=").ok_or("params: missing")?;
            let names = beechcroft_settings::read(&line.rest[at + "params=".len()..])
                .map_err(|what| format!("params{what}"))?;
            let relay = Relay::start(&names.settings, seed as u64, self.now, actions);
            instances.insert(who, Instance { relay, names });
            return Ok(());
        }
        let Instance { relay, names } = instances.get_mut(&who).ok_or("who: not started")?;
        relay.set_time(self.now);
        match line.name {
            "TARGETS" => {
                let scope = line.text("scope")?;
                let whole = match scope {
                    "whole" | "stale_copy" => true,
                    "patch" => false,
                    "broken" => {
                        relay.discovery_failed(actions);
                        return Ok(());
                    }
                    other => return Err(format!("scope: malformed '{other}'")),
                };
                let roster: u8 = line.num("roster_id")?;
                let entries = self.rosters.get(&roster).ok_or("roster_id: unknown")?;
                relay.fleet_mut().begin_update(whole);
                for rest in entries {
                    let entry = Line { name: "M", rest };
                    let started = entry.opt::<f64>("started_at_s")?.unwrap_or(0.0).max(0.0);
                    relay.fleet_mut().update_unit(
                        entry.unit()?,
                        BuildId(entry.num::<f64>("runs")? as u16),
                        entry.known_position("zone", &names.zones).map(ZoneId),
                        MachineTypeId(entry.known_position("type", &names.kinds).unwrap_or(0)),
                        CellId(entry.opt("pod")?.unwrap_or(0)),
                        entry.health()?,
                        entry.opt("nominal")?.unwrap_or(1.0),
                        (started > 0.0).then(|| Duration::from_secs_f64(started)),
                    );
                }
                relay.fleet_mut().finish_update();
            }
            "INBOUND" => {
                let tenant = match line.get("client_group") {
                    None | Some("0") => None,
                    Some(_) => Some(TenantId(line.position("client_group", &names.tenants)?)),
                };
                let work: Option<f64> = line.opt("work_hint_s")?;
                relay.task_received(
                    line.task()?,
                    TrackId(line.position("band", &names.tracks)?),
                    tenant,
                    line.opt("route_key")?.map(Key),
                    line.duration("left_s")?,
                    work.and_then(|work| Duration::try_from_secs_f64(work).ok()),
                    actions,
                );
            }
            "HEADERS" => {
                line.duration("spent_s")?;
                line.unit()?;
                line.num::<u32>("trial")?;
                relay.response_started(&line.task()?);
            }
            "REPORT_BACK" => {
                line.unit()?;
                let load = line.reported_load()?;
                let (dispatch, outcome) = (DispatchNo(line.num("trial")?), line.outcome()?);
                let (elapsed, settled, id) = (
                    line.duration("spent_s")?,
                    line.flag("settled")?,
                    line.task()?,
                );
                load.into_iter()
                    .for_each(|load| relay.load_reported(&id, dispatch, load));
                relay.dispatch_ended(&id, dispatch, outcome, elapsed, settled, actions);
            }
            "CLIENT_LEFT" => relay.client_disconnected(&line.task()?, actions),
            "FIRED" => relay.timer_fired(TimerId(line.num("ref")?), actions),
            // The relay asks for no probes, so their results are only checked.
            "ECHO" => {
                line.unit()?;
                line.outcome()?;
                line.duration("spent_s")?;
                line.reported_load()?;
            }
            "NOTE_FROM" => {
                relay.peer_message_received(PeerId(line.num("sender")?), &line.payload()?)
            }
            "PROMOTION" => {
                let phase = match line.opt::<u8>("where_at")? {
                    Some(0) | None => Phase::OnTrial,
                    Some(1) => Phase::Reverting,
                    Some(2) => Phase::Released,
                    Some(3) => Phase::Withdrawn,
                    Some(other) => return Err(format!("where_at: malformed '{other}'")),
                };
                // If it is not ok, the other fields are void.
                let outcome = line.outcome()?;
                let is_answer = line.num::<u8>("code")? == 1;
                if outcome == Outcome::Ok {
                    relay.rollout_updated(
                        BuildId(line.num("ver")?),
                        Stage(line.num("wave")?),
                        phase,
                        line.real("allowed")?,
                        actions,
                    );
                }
                if is_answer {
                    relay.vote_answered(outcome);
                }
            }
            "PLATFORM_SAW" => {
                line.num::<u16>("ver")?;
                line.position("band", &names.tracks)?;
                line.real("attempts")?;
                line.real("not_ok")?;
            }
            "COMPLAINT" => {
                line.duration("since_s")?;
                let track = TrackId(line.position("band", &names.tracks)?);
                relay.complaint_received(&line.unit()?, track);
            }
            _ => return Err("unknown message".to_owned()),
        }
        Ok(())
    }
}
