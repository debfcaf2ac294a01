//! Reads a deployment's settings into those of the module; unknown keys are ignored. The adapter gets them on
//! the simulator's wire, the relay in its configuration file; both read them here.

use beechcroft::{Effect, GateMode, Group, PeerId, Settings, Track, ZoneId};
use serde_json::Value;
use std::time::Duration;

/// Where a deployment states none of its own: what is usual for a server's kept connections and for connects
/// between machines of one site.
const IDLE_CLOSE: Duration = Duration::from_secs(10);
const DIAL_TIME_OUT: Duration = Duration::from_millis(250);

/// The settings, with the names that the wire uses for positions in them.
pub struct NamedSettings {
    pub settings: Settings,
    pub transport: TransportSettings,
    pub tracks: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// What only a relay on sockets needs: no decision follows from it.
pub struct TransportSettings {
    /// A connection may be closed by its unit once it has been idle this long.
    pub idle_close: Duration,
    pub connect_timeout: Duration,
    /// The longest that a client waits for a task.
    pub max_client_wait: Duration,
}

struct Node<'a>(&'a Value, &'static str);

impl<'a> Node<'a> {
    fn lacks(&self, key: &str) -> String {
        format!(".{}{key}: missing or malformed", self.1)
    }
    fn at(&self, key: &str, path: &'static str) -> Result<Node<'a>, String> {
        match self.0.get(key) {
            Some(value @ Value::Object(_)) => Ok(Node(value, path)),
            _ => Err(self.lacks(key)),
        }
    }
    /// An optional value is taken by `or`; a present one of the wrong type is an error all the same.
    fn read<T>(
        &self,
        key: &str,
        or: Option<T>,
        as_type: fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        match self.0.get(key) {
            None | Some(Value::Null) => or.ok_or_else(|| self.lacks(key)),
            Some(value) => as_type(value).ok_or_else(|| self.lacks(key)),
        }
    }
    fn out_of_range(&self, key: &str) -> String {
        format!(".{}{key}: out of range", self.1)
    }
    /// A part of a whole.
    fn share(&self, key: &str, value: f64) -> Result<f64, String> {
        (0.0..=1.0)
            .contains(&value)
            .then_some(value)
            .ok_or_else(|| self.out_of_range(key))
    }
    fn shares(&self, key: &str, values: &[Value]) -> Result<Vec<f64>, String> {
        let value = |value: &Value| self.share(key, value.as_f64().ok_or_else(|| self.lacks(key))?);
        values.iter().map(value).collect()
    }
    fn number(&self, key: &str) -> Result<f64, String> {
        self.read(key, None, Value::as_f64)
    }
    fn number_or(&self, key: &str, or: f64) -> Result<f64, String> {
        self.read(key, Some(or), Value::as_f64)
    }
    fn count(&self, key: &str) -> Result<u32, String> {
        let count = self.read(key, None, Value::as_u64)?;
        u32::try_from(count).map_err(|_| self.lacks(key))
    }
    fn count_or(&self, key: &str, or: u32) -> Result<u32, String> {
        let count = self.read(key, Some(or.into()), Value::as_u64)?;
        u32::try_from(count).map_err(|_| self.lacks(key))
    }
    fn span(&self, key: &str) -> Result<Duration, String> {
        Duration::try_from_secs_f64(self.number(key)?).map_err(|_| self.lacks(key))
    }
    fn span_or(&self, key: &str, or: Duration) -> Result<Duration, String> {
        if self.0.get(key).is_none() {
            return Ok(or);
        }
        self.span(key)
    }
    fn yes_or(&self, key: &str, or: bool) -> Result<bool, String> {
        self.read(key, Some(or), Value::as_bool)
    }
    fn word(&self, key: &str) -> Result<&'a str, String> {
        self.read(key, None, Value::as_str)
    }
    fn word_or(&self, key: &str, or: &'static str) -> Result<&'a str, String> {
        self.read(key, Some(or), Value::as_str)
    }
    fn list(&self, key: &str) -> Result<&'a [Value], String> {
        self.read(key, None, |value| value.as_array().map(Vec::as_slice))
    }
    fn list_or_empty(&self, key: &str) -> Result<&'a [Value], String> {
        self.read(key, Some(&[][..]), |value| {
            value.as_array().map(Vec::as_slice)
        })
    }
    fn words(&self, key: &str) -> Result<Vec<String>, String> {
        let words = self.list(key)?.iter();
        words
            .map(|word| {
                word.as_str()
                    .map(str::to_owned)
                    .ok_or_else(|| self.lacks(key))
            })
            .collect()
    }
}

fn track(node: &Node) -> Result<Track, String> {
    let effect = match node.word("effect")? {
        "retryable" => Effect::Idempotent,
        "fragile" => Effect::Unrepeatable,
        "dedup" => Effect::Deduplicated {
            group: match node.word_or("group", "all")? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                _ => return Err(node.lacks("group")),
            },
            window: node.span("window_s")?,
        },
        _ => return Err(node.lacks("effect")),
    };
    Ok(Track {
        effect,
        quoted: node.span("aim_s")?,
        utility: node.number("points")?,
        late_utility: node.number_or("late_worth", 0.0)?,
        quoted_stretch: node.number_or("aim_stretch", 0.0)?,
    })
}

/// Reads them as text; an error begins with the path of the faulty key below them.
pub fn read(text: &str) -> Result<NamedSettings, String> {
    read_value(&serde_json::from_str(text).map_err(|error| format!(": {error}"))?)
}

/// Reads them as a JSON value.
pub fn read_value(value: &Value) -> Result<NamedSettings, String> {
    let all = Node(value, "");
    let limits = all.at("limits", "limits.")?;
    let rules = all.at("invariants", "invariants.")?;
    let rollout = all.at("family_info", "family_info.")?;
    let charges = all.at("charges", "charges.")?;
    all.at("stats", "stats.")?; // load reports are not used, but a deployment states them
    let mut tracks = Vec::new();
    let mut names = Vec::new();
    let mut max_client_wait = Duration::ZERO;
    let classes = all.list("classes")?;
    if classes.is_empty() {
        return Err(all.out_of_range("classes"));
    }
    for class in classes {
        let node = Node(class, "classes[].");
        names.push(node.word("name")?.to_owned());
        tracks.push(track(&node)?);
        max_client_wait = max_client_wait.max(node.span_or("give_up_s", Duration::ZERO)?);
    }
    let (mut tenants, mut tenant_quotas) = (Vec::new(), Vec::new());
    for tenant in all.list_or_empty("tenants")? {
        let node = Node(tenant, "tenants[].");
        tenants.push(node.word("name")?.to_owned());
        tenant_quotas.push(node.number_or("quota_per_s", f64::INFINITY)?);
    }
    let zones = all.words("failure_domains")?;
    let zone = all.word_or("zone", "")?;
    let stage_caps = rollout.shares("stage_cap", rollout.list("stage_cap")?)?;
    let stage_shares = rollout.shares("shares", rollout.list_or_empty("shares")?)?;
    let (me, relays) = (all.count("me")?, all.count("instances")?.max(1));
    if me >= relays {
        return Err(all.out_of_range("me"));
    }
    let gate = match rollout.word("gate_mode")? {
        "first_voice" => GateMode::FirstVoice,
        "by_count" => GateMode::ByCount,
        "automatic" => GateMode::Automatic,
        _ => return Err(rollout.lacks("gate_mode")),
    };
    let settings = Settings {
        me: PeerId(me),
        relays,
        zone: zones.iter().position(|name| name == zone).map(ZoneId),
        tracks,
        tenant_quotas,
        over_share_worth: all.number_or("over_share_worth", 1.0)?,
        granularity: all.span_or("granularity_s", Duration::ZERO)?,
        cross_zone_charge: charges.number_or("cross_zone", 0.0)?,
        ask_for_list: all.word_or("discovery", "pushed")? == "on_request",
        may_tell_peers: limits.yes_or("peers", false)?,
        may_abandon: limits.yes_or("cancel", false)?,
        may_name_hold_off: limits.yes_or("retry_after", false)?,
        max_dispatches: limits.count("max_attempts")?,
        max_hold_off: limits.span_or("max_retry_after_s", Duration::ZERO)?,
        drain_grace: rules.span("drain_grace_s")?,
        idle_close: limits.span_or("idle_close_s", IDLE_CLOSE)?,
        cold_from: rules.share("cold_from", rules.number("cold_from")?)?,
        warm_up: rules.span("warm_up_s")?,
        fall_multiple: rules.number("fall_multiple")?,
        overload_for: rules.span("overload_for_s")?,
        gate,
        replace: rollout.word_or("layout", "parallel")? == "replace",
        stage_caps,
        stage_shares,
        closed_stages: rollout.number_or("closed_stages", 0.0)? as usize,
        exposure_free: rollout.number("free")?,
        exposure_window: rollout.span("counted_over_s")?,
        exposure_by_track: rollout.word("per")? == "each_class",
        forward_only: rollout.yes_or("forward_only", false)?,
        answer_wait: rollout.span("answer_wait_s")?,
        vote_life: rollout.span("vote_life_s")?,
        votes_per_s: rollout.number("calls_per_s")?,
        on_votes: rollout.count_or("on_votes", 0)?,
        delay_price: rollout.number_or("delay_price", 0.0)?,
        complaint_share: rollout.share(
            "complaint_share",
            rollout.number_or("complaint_share", 0.0)?,
        )?,
    };
    let kinds = all.words("kinds").unwrap_or_default();
    let transport = TransportSettings {
        idle_close: settings.idle_close,
        connect_timeout: limits.span_or("dial_timeout_s", DIAL_TIME_OUT)?,
        max_client_wait,
    };
    if transport.connect_timeout.is_zero() {
        return Err(limits.out_of_range("dial_timeout_s"));
    }
    Ok(NamedSettings {
        settings,
        transport,
        tracks: names,
        tenants,
        zones,
        kinds,
    })
}
