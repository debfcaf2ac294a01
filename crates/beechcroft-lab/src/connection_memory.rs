//! The subcommand `ways`: ways to hold an idle connection on the server, side by side in this process, with the bytes
//! that the allocator counts for each.

use crate::probe::allocated_bytes;
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
pub struct ConnectionMemory {
    /// Number of connections. Both ends are in this process; the experiments assume a limit of 20,000 descriptors for
    /// each process.
    #[arg(long, default_value_t = 4000)]
    connections: usize,
}

/// Actions without effect: the table is only filled, no connection is served.
struct NoActions;

impl Actions for NoActions {
    fn serve(&mut self, _: Id, _: Duration, _: bool) {}
    fn reject(&mut self, _: Id, _: Duration) {}
    fn close_if_idle(&mut self, _: Id, _: CloseReason) -> CloseOutcome {
        CloseOutcome::Closed
    }
    fn force_close(&mut self, _: Id, _: CloseReason) {}
}

/// Bytes allocated for each of `count` connections by the task that `serve` runs on its server end. With `send_request`
/// the client first sends one request.
async fn bytes_per_connection<F>(
    count: usize,
    send_request: bool,
    serve: impl Fn(TcpStream) -> F,
) -> std::io::Result<f64>
where
    F: std::future::Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (mut clients, mut servers) = (Vec::new(), Vec::new());
    for _ in 0..count {
        let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
        if send_request {
            client.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")?;
        }
        clients.push(client);
        servers.push(listener.accept().await?.0.into_std()?);
    }
    let before = allocated_bytes();
    let mut tasks = tokio::task::JoinSet::new();
    for server in servers {
        let server = TcpStream::from_std(server)?;
        tasks.spawn(serve(server));
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let per_connection = (allocated_bytes() - before) as f64 / count as f64;
    tasks.shutdown().await;
    drop(clients);
    Ok(per_connection)
}

impl ConnectionMemory {
    /// Measures each way and prints a table and a JSON object.
    pub fn run(self) -> Result<(), String> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
        let count = self.connections;
        let measured = runtime.block_on(async {
            let hyper = bytes_per_connection(count, true, |stream| async {
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
            let readable = bytes_per_connection(count, false, |stream| async move {
                drop(stream.readable().await)
            })
            .await?;
            std::io::Result::Ok((hyper, readable))
        });
        let (hyper, readable) = measured.map_err(|error| format!("loopback: {error}"))?;
        // A parked connection takes a slot in the table and an entry for its socket in user memory; the rest is in the
        // kernel.
        let settings: NamedSettings = beechcroft_settings::read(include_str!("settings.json"))?;
        let operator = beechcroft_operator::ConnectionSettings {
            descriptors_part: 0.95,
            ..Default::default()
        };
        let budget = Budget::of(count * 2, Some(&operator));
        let before = allocated_bytes();
        let mut table = ConnectionTable::new(connection_limits(
            Some(&operator),
            budget,
            &settings.settings,
        ));
        let mut sockets = slotmap::SecondaryMap::new();
        for nth in 0..count {
            if let Some(id) = table.open(Duration::from_micros(nth as u64), &mut NoActions) {
                sockets.insert(id, [0u64; 3]); // the size of the relay's own entry for a parked socket
            }
        }
        let parked = (allocated_bytes() - before) as f64 / sockets.len().max(1) as f64;
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
