//! The services that every scenario runs.

/// Name, mean service time in ms, bytes of a response, requests a second that a cold unit can serve.
pub const SERVICES: [(&str, f64, usize, f64); 3] = [
    ("boards", 50.0, 300, 3.0),
    ("ledger", 70.0, 200, 3.0),
    ("archive", 50.0, 20_000, 3.0),
];
