//! Simulated processes: the tasks of a program, which can be frozen and killed.

use super::network::Network;
use std::cell::RefCell;
use std::future::Future;
use std::net::Ipv4Addr;
use std::pin::Pin;
use std::sync::Once;
use std::task::{Context, Poll};
use tokio::task::{spawn_local, AbortHandle, LocalSet};
use tokio::time::{sleep_until, Instant, Sleep};

thread_local! {
    /// Panic recorder of the simulation that runs on this thread, if any.
    static WATCH: RefCell<Option<Watch>> = const { RefCell::new(None) };
}

/// Records panics on a simulation thread. The runtime catches panics of tasks, so a panic hook is needed to see them.
struct Watch {
    runs: Option<Ipv4Addr>,
    panics: Vec<(Option<Ipv4Addr>, u64, String)>,
    began: Instant,
}

/// Records panics on this thread until [`take_panics`].
pub fn record_panics() {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let usual = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            let noted = WATCH.try_with(|watch| {
                let mut watch = watch.try_borrow_mut().ok()?;
                let watch = watch.as_mut()?;
                let at = watch.began.elapsed().as_millis() as u64;
                watch
                    .panics
                    .push((watch.runs, at, info.to_string().replace('\n', " ")));
                watch.runs
            });
            if !matches!(noted, Ok(Some(_))) {
                usual(info); // of the simulator itself, or of another thread
            }
        }));
    });
    let watch = Watch {
        runs: None,
        panics: Vec::new(),
        began: Instant::now(),
    };
    WATCH.with(|held| *held.borrow_mut() = Some(watch));
}

/// Returns the panics since [`record_panics`]: host (`None` for tasks of the simulator itself), time in ms, message.
pub fn take_panics() -> Vec<(Option<Ipv4Addr>, u64, String)> {
    WATCH
        .with(|watch| watch.borrow_mut().take())
        .map(|watch| watch.panics)
        .unwrap_or_default()
}

fn runs(ip: Option<Ipv4Addr>) {
    WATCH.with(|watch| {
        if let Some(watch) = watch.borrow_mut().as_mut() {
            watch.runs = ip;
        }
    });
}

/// Handle of a running program. Dropping the handle leaves the program running.
pub struct Process {
    abort: AbortHandle,
    /// Start of the process.
    pub began: Instant,
}

impl Process {
    /// Starts a program's main task on a host, with its own `LocalSet` for the tasks that it spawns.
    pub fn start(
        network: &Network,
        ip: Ipv4Addr,
        main: impl Future<Output = ()> + 'static,
    ) -> Process {
        let inner = Box::pin(async move { LocalSet::new().run_until(main).await });
        let held = Held {
            network: network.clone(),
            ip,
            inner,
            sleep: None,
        };
        Process {
            abort: spawn_local(held).abort_handle(),
            began: Instant::now(),
        }
    }

    /// Kills the process at once.
    pub fn kill(&self) {
        self.abort.abort();
    }

    /// Whether the process has ended.
    pub fn is_over(&self) -> bool {
        self.abort.is_finished()
    }
}

/// Polls the program only while its host is not frozen.
struct Held {
    network: Network,
    ip: Ipv4Addr,
    inner: Pin<Box<dyn Future<Output = ()>>>,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Future for Held {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let until = self
            .network
            .state()
            .hosts
            .get(&self.ip)
            .and_then(|host| host.frozen_until);
        if let Some(until) = until.filter(|&until| until > Instant::now()) {
            let mut sleep = Box::pin(sleep_until(until));
            if sleep.as_mut().poll(cx).is_pending() {
                self.sleep = Some(sleep);
                return Poll::Pending;
            }
        }
        self.sleep = None;
        runs(Some(self.ip));
        let polled = self.inner.as_mut().poll(cx);
        runs(None);
        polled
    }
}
