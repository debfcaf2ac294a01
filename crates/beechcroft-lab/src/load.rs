//! An open loop of tasks over several relays: each is timed from when it was to be sent, so that a stall delays all that
//! were due in it and is not hidden.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

/// What clients of the load wait for.
const WAIT: Duration = Duration::from_secs(2);
/// A connection is used again if it lay idle for less: a client's own habit.
const REUSE: Duration = Duration::from_secs(1);

/// What came of a load.
pub struct Ends {
    /// Times of handled tasks, microseconds.
    pub times: Histogram<u64>,
    /// Answers by status; `0` is none.
    pub answers: BTreeMap<String, u64>,
}

impl Ends {
    pub fn sent(&self) -> u64 {
        self.answers.values().sum()
    }

    /// Of all that were sent, the part that was handled within a time.
    pub fn within(&self, time: Duration) -> f64 {
        self.times.count_between(0, time.as_micros() as u64) as f64 / self.sent().max(1) as f64
    }

    /// A quantile of the times of handled tasks, ms.
    pub fn quantile(&self, part: f64) -> f64 {
        self.times.value_at_quantile(part) as f64 / 1000.0
    }
}

type Idle = Arc<Mutex<Vec<(Instant, BufReader<TcpStream>)>>>;

/// `rate` tasks a second for a time, in turn over the relays.
pub async fn run(relays: &[SocketAddr], rate: f64, time: Duration, name: &str) -> Ends {
    let idle: Vec<Idle> = relays.iter().map(|_| Idle::default()).collect();
    let began = Instant::now();
    let count = (time.as_secs_f64() * rate) as u64;
    let mut open = Vec::new();
    for nth in 0..count {
        let due = began + Duration::from_secs_f64(nth as f64 / rate);
        sleep_until(due).await;
        let at = nth as usize % relays.len();
        let (address, idle, txn) = (relays[at], idle[at].clone(), format!("{name}-{nth}"));
        open.push(tokio::spawn(async move {
            let status = timeout(WAIT, task(address, &idle, &txn))
                .await
                .ok()
                .flatten();
            (status.unwrap_or("0".to_owned()), due.elapsed())
        }));
    }
    let mut ends = Ends {
        times: Histogram::new_with_bounds(1, 60_000_000, 3)
            .unwrap_or_else(|_| unreachable!("these bounds are taken")),
        answers: BTreeMap::new(),
    };
    for task in open {
        let Ok((status, time)) = task.await else {
            continue;
        };
        if status == "200" {
            ends.times.saturating_record(time.as_micros() as u64);
        }
        *ends.answers.entry(status).or_default() += 1;
    }
    ends
}

/// One task; its status.
async fn task(address: SocketAddr, idle: &Idle, txn: &str) -> Option<String> {
    let kept = || idle.lock().unwrap_or_else(PoisonError::into_inner);
    let taken = loop {
        match kept().pop() {
            Some((since, stream)) if since.elapsed() < REUSE => break Some(stream),
            Some(_) => {}
            None => break None,
        }
    };
    let mut stream = match taken {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(address).await.ok()?;
            let _ = stream.set_nodelay(true);
            BufReader::new(stream)
        }
    };
    let head = format!(
        "X-Txn: {txn}\r\nX-Lane: read\r\nX-Remaining-Ms: {}\r\n",
        WAIT.as_millis()
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
        kept().push((Instant::now(), stream));
    }
    head.split(' ').nth(1).map(str::to_owned)
}
