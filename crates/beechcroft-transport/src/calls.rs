//! The HTTP API of the control nodes and proxies: one table that maps method and path to a call. Units, operators,
//! clients of the directory and the platform's readiness probe make these calls.

/// A call, with the variable segment of its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiCall {
    /// A heartbeat of the unit with this id.
    Heartbeat(String),
    /// The deregistration of the unit with this id.
    Deregister(String),
    /// Replaces the whole configuration.
    ReplaceConfig,
    /// Returns the newest configuration.
    ShowConfig,
    /// Begins a rollout.
    BeginRollout,
    /// Returns the state of the rollout of this service.
    ShowRollout(String),
    /// Begins the evacuation of this zone.
    BeginEvacuation(String),
    /// Ends the evacuation of this zone, so that it takes traffic again.
    FinishEvacuation(String),
    /// Resolves a client's request to the proxies that it may use.
    Resolve,
    /// The readiness probe.
    Ready,
}

type Constructor = fn(String) -> ApiCall;

/// Method, path pattern with `*` for the variable segment, and the constructor of the call.
const TABLE: [(&str, &str, Constructor); 10] = [
    ("POST", "/units/*/heartbeat", ApiCall::Heartbeat),
    ("POST", "/units/*/deregister", ApiCall::Deregister),
    ("POST", "/config/replace", |_| ApiCall::ReplaceConfig),
    ("GET", "/config/show", |_| ApiCall::ShowConfig),
    ("POST", "/rollouts/begin", |_| ApiCall::BeginRollout),
    ("GET", "/rollouts/*/show", ApiCall::ShowRollout),
    ("POST", "/evacuation/*/begin", ApiCall::BeginEvacuation),
    ("POST", "/evacuation/*/finish", ApiCall::FinishEvacuation),
    ("GET", "/resolve", |_| ApiCall::Resolve),
    ("GET", "/ready", |_| ApiCall::Ready),
];

impl ApiCall {
    /// Looks up the call for a method and a whole path. `None` if there is no such call.
    pub fn parse(method: &str, path: &str) -> Option<ApiCall> {
        let same_method = TABLE.iter().filter(|(entry, ..)| *entry == method);
        let mut matches = same_method.filter_map(|(_, pattern, constructor)| {
            let segment = variable_segment(pattern, path)?;
            (!segment.contains('/')).then(|| constructor(segment.to_owned()))
        });
        matches.next()
    }
}

/// The part of a path that matches the `*` of a pattern; empty for a pattern without one.
fn variable_segment<'a>(pattern: &str, path: &'a str) -> Option<&'a str> {
    match pattern.split_once('*') {
        None => (path == pattern).then_some(""),
        Some((before, after)) => path.strip_prefix(before)?.strip_suffix(after),
    }
}
