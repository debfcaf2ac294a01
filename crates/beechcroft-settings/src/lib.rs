//! Parses a deployment's settings from JSON into [`Settings`] of the root library; unknown keys are ignored.
//!
//! The adapter receives the settings in the simulator's protocol, the relay has them in its configuration file; both
//! parse them here.

use beechcroft::{DedupScope, Effect, GateMode, PeerId, Settings, Track, ZoneId};
use serde_json::Value;
use std::time::Duration;

/// Default for `limits.idle_close_s`, a usual idle timeout of servers.
const DEFAULT_IDLE_CLOSE: Duration = Duration::from_secs(10);
/// Default for `limits.dial_timeout_s`, a usual timeout for connections between machines of one site.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The settings, with the names that the wire formats use for tracks, tenants, zones and kinds of machines, in the
/// order of their numbers.
pub struct NamedSettings {
    pub settings: Settings,
    pub transport: TransportSettings,
    /// Names from `classes`, by `TrackId`.
    pub tracks: Vec<String>,
    /// Names of the tenants, in the order of their numbers.
    pub tenants: Vec<String>,
    /// Names from `failure_domains`, by `ZoneId`.
    pub zones: Vec<String>,
    /// Names of the kinds of machines; empty if a deployment has none.
    pub kinds: Vec<String>,
}

/// Settings of a relay's sockets; the root library does not use them.
pub struct TransportSettings {
    /// Time after which a unit may close an idle connection.
    pub idle_close: Duration,
    /// Timeout for opening a connection to a unit.
    pub connect_timeout: Duration,
    /// The longest time that a client of any track waits for its task; zero if unknown.
    pub max_client_wait: Duration,
}

/// A JSON object, and its path, with a trailing dot, for error messages.
struct Node<'a>(&'a Value, &'static str);

impl<'a> Node<'a> {
    fn missing_or_malformed(&self, key: &str) -> String {
        format!(".{}{key}: missing or malformed", self.1)
    }
    fn object(&self, key: &str, path: &'static str) -> Result<Node<'a>, String> {
        match self.0.get(key) {
            Some(value @ Value::Object(_)) => Ok(Node(value, path)),
            _ => Err(self.missing_or_malformed(key)),
        }
    }
    /// Reads a value; `default` replaces an absent one. A value of the wrong type is always an error.
    fn read<T>(
        &self,
        key: &str,
        default: Option<T>,
        as_type: fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        match self.0.get(key) {
            None | Some(Value::Null) => default.ok_or_else(|| self.missing_or_malformed(key)),
            Some(value) => as_type(value).ok_or_else(|| self.missing_or_malformed(key)),
        }
    }
    fn out_of_range(&self, key: &str) -> String {
        format!(".{}{key}: out of range", self.1)
    }
    /// Checks that a value is a fraction from 0 to 1.
    fn fraction(&self, key: &str, value: f64) -> Result<f64, String> {
        (0.0..=1.0)
            .contains(&value)
            .then_some(value)
            .ok_or_else(|| self.out_of_range(key))
    }
    fn fractions(&self, key: &str, values: &[Value]) -> Result<Vec<f64>, String> {
        let value = |value: &Value| {
            self.fraction(
                key,
                value
                    .as_f64()
                    .ok_or_else(|| self.missing_or_malformed(key))?,
            )
        };
        values.iter().map(value).collect()
    }
    fn number(&self, key: &str) -> Result<f64, String> {
        self.read(key, None, Value::as_f64)
    }
    fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.read(key, Some(default), Value::as_f64)
    }
    fn count(&self, key: &str) -> Result<u32, String> {
        let count = self.read(key, None, Value::as_u64)?;
        u32::try_from(count).map_err(|_| self.missing_or_malformed(key))
    }
    fn count_or(&self, key: &str, default: u32) -> Result<u32, String> {
        let count = self.read(key, Some(default.into()), Value::as_u64)?;
        u32::try_from(count).map_err(|_| self.missing_or_malformed(key))
    }
    fn seconds(&self, key: &str) -> Result<Duration, String> {
        Duration::try_from_secs_f64(self.number(key)?).map_err(|_| self.missing_or_malformed(key))
    }
    fn seconds_or(&self, key: &str, default: Duration) -> Result<Duration, String> {
        if self.0.get(key).is_none() {
            return Ok(default);
        }
        self.seconds(key)
    }
    fn flag_or(&self, key: &str, default: bool) -> Result<bool, String> {
        self.read(key, Some(default), Value::as_bool)
    }
    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.read(key, None, Value::as_str)
    }
    fn text_or(&self, key: &str, default: &'static str) -> Result<&'a str, String> {
        self.read(key, Some(default), Value::as_str)
    }
    fn list(&self, key: &str) -> Result<&'a [Value], String> {
        self.read(key, None, |value| value.as_array().map(Vec::as_slice))
    }
    fn list_or_empty(&self, key: &str) -> Result<&'a [Value], String> {
        self.read(key, Some(&[][..]), |value| {
            value.as_array().map(Vec::as_slice)
        })
    }
    fn texts(&self, key: &str) -> Result<Vec<String>, String> {
        let values = self.list(key)?.iter();
        values
            .map(|value| {
                value
                    .as_str()
                    .map(str::to_owned)
                    .ok_or_else(|| self.missing_or_malformed(key))
            })
            .collect()
    }
}

/// Parses one entry of `classes`.
fn track(node: &Node) -> Result<Track, String> {
    let effect = match node.text("effect")? {
        "retryable" => Effect::Idempotent,
        "fragile" => Effect::Unrepeatable,
        "dedup" => Effect::Deduplicated {
            scope: match node.text_or("group", "all")? {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                _ => return Err(node.missing_or_malformed("group")),
            },
            window: node.seconds("window_s")?,
        },
        _ => return Err(node.missing_or_malformed("effect")),
    };
    Ok(Track {
        effect,
        quoted_time: node.seconds("aim_s")?,
        utility: node.number("points")?,
        late_utility: node.number_or("late_worth", 0.0)?,
        quoted_time_per_work: node.number_or("aim_stretch", 0.0)?,
    })
}

/// Parses the settings from JSON text. An error begins with the path of the invalid key.
pub fn read(text: &str) -> Result<NamedSettings, String> {
    read_value(&serde_json::from_str(text).map_err(|error| format!(": {error}"))?)
}

/// Parses the settings from a JSON value.
pub fn read_value(value: &Value) -> Result<NamedSettings, String> {
    let all = Node(value, "");
    let limits = all.object("limits", "limits.")?;
    let rules = all.object("invariants", "invariants.")?;
    let rollout = all.object("family_info", "family_info.")?;
    let charges = all.object("charges", "charges.")?;
    all.object("stats", "stats.")?; // required, though the load reports that it describes are not used
    let mut tracks = Vec::new();
    let mut track_names = Vec::new();
    let mut max_client_wait = Duration::ZERO;
    let classes = all.list("classes")?;
    if classes.is_empty() {
        return Err(all.out_of_range("classes"));
    }
    for class in classes {
        let node = Node(class, "classes[].");
        track_names.push(node.text("name")?.to_owned());
        tracks.push(track(&node)?);
        max_client_wait = max_client_wait.max(node.seconds_or("give_up_s", Duration::ZERO)?);
    }
    let (mut tenants, mut tenant_quotas) = (Vec::new(), Vec::new());
    for tenant in all.list_or_empty("tenants")? {
        let node = Node(tenant, "tenants[].");
        tenants.push(node.text("name")?.to_owned());
        tenant_quotas.push(node.number_or("quota_per_s", f64::INFINITY)?);
    }
    let zones = all.texts("failure_domains")?;
    let zone = all.text_or("zone", "")?;
    let stage_caps = rollout.fractions("stage_cap", rollout.list("stage_cap")?)?;
    let stage_shares = rollout.fractions("shares", rollout.list_or_empty("shares")?)?;
    let (own_index, relays) = (all.count("me")?, all.count("instances")?.max(1));
    if own_index >= relays {
        return Err(all.out_of_range("me"));
    }
    let gate = match rollout.text("gate_mode")? {
        "first_voice" => GateMode::FirstVote,
        "by_count" => GateMode::VoteCount,
        "automatic" => GateMode::Automatic,
        _ => return Err(rollout.missing_or_malformed("gate_mode")),
    };
    let settings = Settings {
        own_id: PeerId(own_index),
        relays,
        zone: zones.iter().position(|name| name == zone).map(ZoneId),
        tracks,
        tenant_quotas,
        over_quota_weight: all.number_or("over_share_worth", 1.0)?,
        clock_granularity: all.seconds_or("granularity_s", Duration::ZERO)?,
        cross_zone_charge: charges.number_or("cross_zone", 0.0)?,
        discovery_on_request: all.text_or("discovery", "pushed")? == "on_request",
        may_message_peers: limits.flag_or("peers", false)?,
        may_cancel: limits.flag_or("cancel", false)?,
        may_set_retry_after: limits.flag_or("retry_after", false)?,
        max_dispatches: limits.count("max_attempts")?,
        max_retry_after: limits.seconds_or("max_retry_after_s", Duration::ZERO)?,
        drain_grace: rules.seconds("drain_grace_s")?,
        idle_close: limits.seconds_or("idle_close_s", DEFAULT_IDLE_CLOSE)?,
        cold_capacity: rules.fraction("cold_from", rules.number("cold_from")?)?,
        warm_up: rules.seconds("warm_up_s")?,
        overload_multiple: rules.number("fall_multiple")?,
        overload_duration: rules.seconds("overload_for_s")?,
        gate,
        in_place: rollout.text_or("layout", "parallel")? == "replace",
        stage_caps,
        stage_shares,
        idempotent_only_stages: rollout.number_or("closed_stages", 0.0)? as usize,
        exposure_allowance: rollout.number("free")?,
        exposure_window: rollout.seconds("counted_over_s")?,
        exposure_by_track: rollout.text("per")? == "each_class",
        forward_only: rollout.flag_or("forward_only", false)?,
        vote_timeout: rollout.seconds("answer_wait_s")?,
        vote_ttl: rollout.seconds("vote_life_s")?,
        votes_per_s: rollout.number("calls_per_s")?,
        votes_to_advance: rollout.count_or("on_votes", 0)?,
        delay_price: rollout.number_or("delay_price", 0.0)?,
        complaint_share: rollout.fraction(
            "complaint_share",
            rollout.number_or("complaint_share", 0.0)?,
        )?,
    };
    let kinds = all.texts("kinds").unwrap_or_default();
    let transport = TransportSettings {
        idle_close: settings.idle_close,
        connect_timeout: limits.seconds_or("dial_timeout_s", DEFAULT_CONNECT_TIMEOUT)?,
        max_client_wait,
    };
    if transport.connect_timeout.is_zero() {
        return Err(limits.out_of_range("dial_timeout_s"));
    }
    Ok(NamedSettings {
        settings,
        transport,
        tracks: track_names,
        tenants,
        zones,
        kinds,
    })
}
