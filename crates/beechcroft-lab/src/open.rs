//! `load`: requests at a steady rate against a running edge machine on loopback, each timed from when it was planned,
//! so that an answer that holds up others counts against it.

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
pub struct Load {
    /// The edge machine's ingress, on loopback.
    to: SocketAddrV4,
    /// Host header.
    #[arg(long, default_value = "boards.example")]
    host: String,
    #[arg(long, default_value = "/board/today")]
    path: String,
    /// Requests a second.
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
}

impl Load {
    pub fn run(&self) -> Result<(), String> {
        if !self.to.ip().is_loopback() {
            return Err(format!("{}: load goes to loopback only", self.to));
        }
        if !(self.rate > 0.0
            && self.rate <= 50_000.0
            && self.seconds > 0.0
            && self.seconds <= 600.0)
        {
            return Err("--rate is above 0 and up to 50,000, --seconds up to 600".into());
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| e.to_string())?;
        runtime.block_on(LocalSet::new().run_until(self.send()))
    }

    async fn send(&self) -> Result<(), String> {
        let took = Rc::new(RefCell::new(
            Histogram::<u64>::new_with_max(60_000_000, 3).map_err(|e| e.to_string())?,
        ));
        let failed = Rc::new(RefCell::new(0_u64));
        let idle: Rc<RefCell<Vec<Connection>>> = Rc::default();
        let count = (self.rate * self.seconds) as u64;
        let began = Instant::now();
        let mut all = Vec::new();
        for nth in 0..count {
            let planned = began + Duration::from_secs_f64(nth as f64 / self.rate);
            sleep_until(planned).await;
            let (took, failed, idle) = (took.clone(), failed.clone(), idle.clone());
            let (to, host, path) = (self.to, self.host.clone(), self.path.clone());
            all.push(spawn_local(async move {
                let done =
                    timeout(Duration::from_secs(10), one(to, &host, &path, nth, &idle)).await;
                match done {
                    Ok(Some(200..=299)) => {
                        let _ = took
                            .borrow_mut()
                            .record(planned.elapsed().as_micros() as u64);
                    }
                    _ => *failed.borrow_mut() += 1,
                }
            }));
        }
        for task in all {
            let _ = task.await;
        }
        let took = took.borrow();
        let at = |part: f64| took.value_at_quantile(part) as f64 / 1000.0;
        println!(
            "{count} requests in {:.1} s, {} failed; from the planned send: p50 {:.2}, p99 {:.2}, p99.9 {:.2}, most {:.2} ms",
            began.elapsed().as_secs_f64(),
            failed.borrow(),
            at(0.5),
            at(0.99),
            at(0.999),
            took.max() as f64 / 1000.0
        );
        let failed = *failed.borrow();
        match failed {
            0 => Ok(()),
            failed => Err(format!("{failed} of {count} requests failed")),
        }
    }
}

async fn one(
    to: SocketAddrV4,
    host: &str,
    path: &str,
    nth: u64,
    idle: &RefCell<Vec<Connection>>,
) -> Option<u16> {
    let kept = idle.borrow_mut().pop();
    let mut line = match kept.filter(Connection::is_reusable) {
        Some(line) => line,
        None => Connection::new(Runtime::real().connect(to).await.ok()?),
    };
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nBeechcroft-Attempt-Id: load-{nth}\r\nBeechcroft-Time-Budget: 10000\r\n\r\n"
    );
    line.write(head.as_bytes()).await.ok()?;
    let (reply, _) = read_response(&mut line, "GET").await?;
    if !reply.closes {
        idle.borrow_mut().push(line);
    }
    Some(reply.status)
}
