//! The subcommand `load`: sends requests at a steady rate to a running edge machine on loopback (open loop). Latency is
//! counted from the planned send time, so that a stall shows in every request that was due during it.

use beechcroft_simulator::cluster::http::read_response;
use beechcroft_transport::connection::Connection;
use beechcroft_transport::Runtime;
use clap::Args;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep_until, timeout, Instant};

#[derive(Args)]
pub struct EdgeLoad {
    /// Address of the edge machine's ingress, on loopback.
    #[arg(value_name = "TO")]
    target: SocketAddrV4,
    /// Value of the Host header.
    #[arg(long, default_value = "boards.example")]
    host: String,
    /// Request path.
    #[arg(long, default_value = "/board/today")]
    path: String,
    /// Requests per second.
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
}

impl EdgeLoad {
    /// Sends the load and prints latency quantiles; fails if any request failed.
    pub fn run(&self) -> Result<(), String> {
        if !self.target.ip().is_loopback() {
            return Err(format!(
                "{}: not a loopback address; load is sent to loopback only",
                self.target
            ));
        }
        if !(self.rate > 0.0
            && self.rate <= 50_000.0
            && self.seconds > 0.0
            && self.seconds <= 600.0)
        {
            return Err(
                "--rate must be above 0 and at most 50,000; --seconds above 0 and at most 600"
                    .into(),
            );
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| e.to_string())?;
        runtime.block_on(LocalSet::new().run_until(self.send()))
    }

    async fn send(&self) -> Result<(), String> {
        let latencies = Rc::new(RefCell::new(
            Histogram::<u64>::new_with_max(60_000_000, 3).map_err(|e| e.to_string())?,
        ));
        let failed = Rc::new(RefCell::new(0_u64));
        let idle: Rc<RefCell<Vec<Connection>>> = Rc::default();
        let count = (self.rate * self.seconds) as u64;
        let began = Instant::now();
        let mut requests = Vec::new();
        for nth in 0..count {
            let planned = began + Duration::from_secs_f64(nth as f64 / self.rate);
            sleep_until(planned).await;
            let (latencies, failed, idle) = (latencies.clone(), failed.clone(), idle.clone());
            let (target, host, path) = (self.target, self.host.clone(), self.path.clone());
            requests.push(spawn_local(async move {
                let response = timeout(
                    Duration::from_secs(10),
                    send_one(target, &host, &path, nth, &idle),
                )
                .await;
                match response {
                    Ok(Some(200..=299)) => {
                        let _ = latencies
                            .borrow_mut()
                            .record(planned.elapsed().as_micros() as u64);
                    }
                    _ => *failed.borrow_mut() += 1,
                }
            }));
        }
        for request in requests {
            let _ = request.await;
        }
        let latencies = latencies.borrow();
        let quantile = |q: f64| latencies.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "{count} requests in {:.1} s, {} failed; from the planned send: p50 {:.2}, p99 {:.2}, p99.9 {:.2}, most {:.2} ms",
            began.elapsed().as_secs_f64(),
            failed.borrow(),
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            latencies.max() as f64 / 1000.0
        );
        let failed = *failed.borrow();
        match failed {
            0 => Ok(()),
            failed => Err(format!("{failed} of {count} requests failed")),
        }
    }
}

/// Sends one request on a pooled or new connection; the status, or `None` if there was no response.
async fn send_one(
    target: SocketAddrV4,
    host: &str,
    path: &str,
    nth: u64,
    idle: &RefCell<Vec<Connection>>,
) -> Option<u16> {
    let pooled = idle.borrow_mut().pop();
    let mut connection = match pooled.filter(Connection::is_reusable) {
        Some(connection) => connection,
        None => Connection::new(Runtime::real().connect(target).await.ok()?),
    };
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nBeechcroft-Attempt-Id: load-{nth}\r\nBeechcroft-Time-Budget: 10000\r\n\r\n"
    );
    connection.write(head.as_bytes()).await.ok()?;
    let (response, _) = read_response(&mut connection, "GET").await?;
    if !response.closes {
        idle.borrow_mut().push(connection);
    }
    Some(response.status)
}
