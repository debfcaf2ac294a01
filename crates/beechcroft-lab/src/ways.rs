//! Ways to keep a quiet connection, side by side in this process: the allocator's own count for each.

use crate::probe::allocated;
use beechcroft_connections::{Actions, CloseOutcome, CloseReason, ConnectionTable, Id};
use beechcroft_relay::wire::limits::{connection_limits, Budget};
use beechcroft_settings::NamedSettings;
use clap::Args;
use http_body_util::Empty;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use std::convert::Infallible;
use std::io::Write;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

#[derive(Args)]
pub struct Ways {
    /// Connections; both ends lie in this process, which may have 20,000 descriptors here.
    #[arg(long, default_value_t = 4000)]
    connections: usize,
}

struct Nobody;

impl Actions for Nobody {
    fn serve(&mut self, _: Id, _: Duration, _: bool) {}
    fn reject(&mut self, _: Id, _: Duration) {}
    fn close_if_idle(&mut self, _: Id, _: CloseReason) -> CloseOutcome {
        CloseOutcome::Closed
    }
    fn force_close(&mut self, _: Id, _: CloseReason) {}
}

/// Bytes allocated for each connection by what is done with its server's end.
async fn bytes<F>(count: usize, asks: bool, each: impl Fn(TcpStream) -> F) -> std::io::Result<f64>
where
    F: std::future::Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (mut clients, mut servers) = (Vec::new(), Vec::new());
    for _ in 0..count {
        let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
        if asks {
            client.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")?;
        }
        clients.push(client);
        servers.push(listener.accept().await?.0.into_std()?);
    }
    let before = allocated();
    let mut tasks = tokio::task::JoinSet::new();
    for server in servers {
        let server = TcpStream::from_std(server)?;
        tasks.spawn(each(server));
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let own = (allocated() - before) as f64 / count as f64;
    tasks.shutdown().await;
    drop(clients);
    Ok(own)
}

impl Ways {
    pub fn run(self) -> Result<(), String> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
        let count = self.connections;
        let measured = runtime.block_on(async {
            let hyper = bytes(count, true, |stream| async {
                let service = service_fn(|_| async {
                    Ok::<_, Infallible>(http::Response::new(Empty::<hyper::body::Bytes>::new()))
                });
                let mut builder = hyper::server::conn::http1::Builder::new();
                builder
                    .timer(TokioTimer::new())
                    .header_read_timeout(Duration::from_secs(3600))
                    .max_buf_size(16 * 1024);
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            let hyper = hyper.await?;
            let readable = bytes(count, false, |stream| async move {
                drop(stream.readable().await)
            })
            .await?;
            std::io::Result::Ok((hyper, readable))
        });
        let (hyper, readable) = measured.map_err(|error| format!("loopback: {error}"))?;
        // What is kept of a parked one is the slot and the socket's place; the rest is the kernel's.
        let settings: NamedSettings = beechcroft_settings::read(include_str!("settings.json"))?;
        let operator = beechcroft_operator::ConnectionSettings {
            descriptors_part: 0.95,
            ..Default::default()
        };
        let budget = Budget::of(count * 2, Some(&operator));
        let before = allocated();
        let mut all = ConnectionTable::new(connection_limits(
            Some(&operator),
            budget,
            &settings.settings,
        ));
        let mut held = slotmap::SecondaryMap::new();
        for nth in 0..count {
            if let Some(id) = all.open(Duration::from_micros(nth as u64), &mut Nobody) {
                held.insert(id, [0u64; 3]); // as large as the lot's own
            }
        }
        let parked = (allocated() - before) as f64 / held.len().max(1) as f64;
        println!("| way | bytes allocated a connection |\n| --- | --- |");
        for (way, bytes) in [
            (
                "hyper's connection on a task of its own, with its timer, after one answer",
                hyper,
            ),
            ("a task that awaits `readable`", readable),
            ("a slot, its socket in an epoll of the lot's own", parked),
        ] {
            println!("| {way} | {bytes:.0} |");
        }
        println!(
            "{}",
            json!({"experiment": "ways", "connections": count, "hyper": hyper.round(), "readable": readable.round(), "parked": parked.round()})
        );
        Ok(())
    }
}
