//! Draining after SIGTERM: a request that the proxy has read is answered, whatever the units do, and one that it cannot
//! answer in time is sent elsewhere before it reaches a unit.

mod scripted_units;

use beechcroft_proxy::drain::shut_down;
use beechcroft_safeguards::{disable, Safeguard};
use scripted_units::{run, Cut, Script, TestProxy, HEALTHY};
use std::future::ready;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// A unit that takes requests and never answers.
const SILENT: Script = Script {
    max_sent: 0,
    cut: Cut::Silence,
    ..HEALTHY
};
/// The default of `graceS`.
const GRACE: Duration = Duration::from_secs(6);

fn post(id: &str, budget_ms: u64) -> String {
    format!(
        "POST /write/x HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: {id}\r\nBeechcroft-Time-Budget: {budget_ms}\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// What a client sees of a request that it sends to a draining proxy.
#[derive(Debug, PartialEq)]
struct Seen {
    /// The status; `None` if the proxy exits without a response.
    status: Option<u16>,
    /// Whether the request has reached a unit.
    is_forwarded: bool,
}

/// Sends a request `after` SIGTERM and waits until the proxy exits. Before SIGTERM, requests took `latency` on average.
fn post_to_draining_proxy(
    unit: Script,
    latency: Duration,
    after: Duration,
    budget_ms: u64,
) -> Seen {
    run(async {
        let proxy = TestProxy::new(&[unit]);
        proxy.shared.record_latency("s", latency);
        // Another request keeps the proxy from exiting early.
        proxy.shared.in_flight.set(1);
        let began_at = Instant::now();
        let exit = spawn_local(shut_down(
            proxy.shared.clone(),
            proxy.queue.clone(),
            ready(()),
        ));
        sleep(after).await;
        proxy.send(&post("a", budget_ms));
        exit.await.unwrap();
        assert!(began_at.elapsed() < GRACE, "SIGKILL comes before the exit");
        let response = proxy.poll_response().flatten();
        Seen {
            status: response.map(|(status, _)| status),
            is_forwarded: proxy.requests_received(0, "a") > 0,
        }
    })
}

const REJECTED: Seen = Seen {
    status: Some(503),
    is_forwarded: false,
};
const SERVED: Seen = Seen {
    status: Some(200),
    is_forwarded: true,
};
const LOST: Seen = Seen {
    status: None,
    is_forwarded: true,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against posts that are taken shortly before the exit and cut off while a unit works on them.
#[test]
fn a_request_that_cannot_end_before_the_exit_is_not_taken() {
    for (after, budget_ms) in [(ms(3100), 4000), (ms(4400), 2500), (ms(5000), 700)] {
        let seen = || post_to_draining_proxy(SILENT, ms(50), after, budget_ms);
        assert_eq!(seen(), REJECTED, "{after:?}, {budget_ms} ms");
        let _guard = disable(Some(Safeguard::DrainAdmission));
        assert!(seen().is_forwarded, "{after:?}, {budget_ms} ms");
    }
}

/// Guards against posts that are taken although they will wait for a slot of a unit until the proxy exits.
#[test]
fn a_request_of_a_slow_service_is_taken_only_if_its_deadline_allows() {
    for after in [ms(100), ms(1000), ms(2500)] {
        let seen = |budget_ms| post_to_draining_proxy(HEALTHY, ms(1600), after, budget_ms);
        assert_eq!(
            seen(5000 - 4),
            if after < ms(600) { SERVED } else { REJECTED }
        );
        assert_eq!(seen(3000), SERVED, "{after:?}");
    }
}

#[test]
fn a_request_of_a_fast_service_is_taken_early_in_the_drain() {
    for after in [ms(0), ms(1000), ms(2900)] {
        let seen = post_to_draining_proxy(HEALTHY, ms(200), after, 5000);
        assert_eq!(seen, SERVED, "{after:?}");
    }
}

/// Guards against a process that exits with requests in flight and closes their connections without a response.
#[test]
fn a_request_in_flight_at_the_end_of_the_grace_period_is_answered() {
    for after in [ms(1000), ms(2900)] {
        let seen = || post_to_draining_proxy(SILENT, ms(200), after, 5000);
        let answered = Seen {
            status: Some(502),
            is_forwarded: true,
        };
        assert_eq!(seen(), answered, "{after:?}");
        let _guard = disable(Some(Safeguard::AnswerBeforeExit));
        assert_eq!(seen(), LOST, "{after:?}");
    }
}

#[test]
fn a_request_whose_deadline_comes_before_the_exit_keeps_all_of_its_time() {
    for (after, budget_ms) in [(ms(1000), 4500), (ms(3000), 2500), (ms(5000), 500)] {
        let seen = post_to_draining_proxy(SILENT, ms(50), after, budget_ms);
        let timed_out = Seen {
            status: Some(504),
            is_forwarded: true,
        };
        assert_eq!(seen, timed_out, "{after:?}, {budget_ms} ms");
    }
}
