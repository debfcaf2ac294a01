//! Open-loop load on several relays, for the `idle` experiment. Latency is counted from when a request was due, so that
//! a stall shows in every request that was due during it (no coordinated omission).

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

/// Time-out of a request, also sent to the relay as the remaining time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A pooled connection is reused only if it has been idle for less than this, as HTTP clients do.
const MAX_POOL_IDLE: Duration = Duration::from_secs(1);

/// Results of a load.
pub struct LoadResult {
    /// Latencies of requests answered with status 200, in microseconds.
    pub latencies: Histogram<u64>,
    /// Requests by response status; `0` means no response.
    pub by_status: BTreeMap<String, u64>,
}

impl LoadResult {
    /// Number of requests sent.
    pub fn sent(&self) -> u64 {
        self.by_status.values().sum()
    }

    /// Fraction of all sent requests that were answered with status 200 within `limit`.
    pub fn within(&self, limit: Duration) -> f64 {
        self.latencies.count_between(0, limit.as_micros() as u64) as f64 / self.sent().max(1) as f64
    }

    /// A quantile (0 to 1) of the latencies, in ms.
    pub fn quantile(&self, q: f64) -> f64 {
        self.latencies.value_at_quantile(q) as f64 / 1000.0
    }
}

/// Idle connections to one relay, with the time since when each is idle.
type Pool = Arc<Mutex<Vec<(Instant, BufReader<TcpStream>)>>>;

/// Sends `rate` requests a second for `duration`, round robin over the relays. `name` is the prefix of transaction ids.
pub async fn run(relays: &[SocketAddr], rate: f64, duration: Duration, name: &str) -> LoadResult {
    let pools: Vec<Pool> = relays.iter().map(|_| Pool::default()).collect();
    let began = Instant::now();
    let count = (duration.as_secs_f64() * rate) as u64;
    let mut requests = Vec::new();
    for nth in 0..count {
        let due = began + Duration::from_secs_f64(nth as f64 / rate);
        sleep_until(due).await;
        let at = nth as usize % relays.len();
        let (address, pool, txn) = (relays[at], pools[at].clone(), format!("{name}-{nth}"));
        requests.push(tokio::spawn(async move {
            let status = timeout(REQUEST_TIMEOUT, send(address, &pool, &txn))
                .await
                .ok()
                .flatten();
            (status.unwrap_or("0".to_owned()), due.elapsed())
        }));
    }
    let mut result = LoadResult {
        latencies: Histogram::new_with_bounds(1, 60_000_000, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are valid")),
        by_status: BTreeMap::new(),
    };
    for request in requests {
        let Ok((status, latency)) = request.await else {
            continue;
        };
        if status == "200" {
            result
                .latencies
                .saturating_record(latency.as_micros() as u64);
        }
        *result.by_status.entry(status).or_default() += 1;
    }
    result
}

/// Sends one request and reads the response; `None` if there was none.
async fn send(address: SocketAddr, pool: &Pool, txn: &str) -> Option<String> {
    let pooled = || pool.lock().unwrap_or_else(PoisonError::into_inner);
    let reused = loop {
        match pooled().pop() {
            Some((since, stream)) if since.elapsed() < MAX_POOL_IDLE => break Some(stream),
            Some(_) => {}
            None => break None,
        }
    };
    let mut stream = match reused {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(address).await.ok()?;
            let _ = stream.set_nodelay(true);
            BufReader::new(stream)
        }
    };
    let head = format!(
        "X-Txn: {txn}\r\nX-Lane: read\r\nX-Remaining-Ms: {}\r\n",
        REQUEST_TIMEOUT.as_millis()
    );
    stream
        .write_all(format!("GET /read/x HTTP/1.1\r\nHost: h\r\n{head}\r\n").as_bytes())
        .await
        .ok()?;
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let mut body = vec![0; lengths.next()?.1.parse().ok()?];
    stream.read_exact(&mut body).await.ok()?;
    if !head.contains("connection: close") {
        pooled().push((Instant::now(), stream));
    }
    head.split(' ').nth(1).map(str::to_owned)
}
