//! Which request a response belongs to, and whether a request may have been executed. Units respond with something other
//! than the expected response, and connections end at every byte of a request or a response. Tests also disable the
//! responsible safeguard and check that the fault then shows.

mod scripted_units;

use beechcroft_safeguards::{disable, Safeguard};
use scripted_units::{
    correct_response, read_request, response, run, write_request, Cut, Script, TestProxy, CUTS,
    HEALTHY,
};
use std::time::Duration;

/// Makes a write and a read with the id `b` to a proxy whose first unit follows a script, and returns what is wrong with
/// their responses. With `on_reused_connection`, a read with the id `a` is made before on the same connection.
fn find_faults(
    first: Script,
    on_reused_connection: bool,
    write_statuses: &[u16],
    read_statuses: &[u16],
) -> Vec<String> {
    let mut faults = Vec::new();
    for is_write in [true, false] {
        run(async {
            let proxy = TestProxy::new(&[first, HEALTHY]);
            if on_reused_connection {
                assert_eq!(
                    proxy.request(&read_request("a")).await,
                    Some((200, "to a".into()))
                );
            }
            let response = proxy
                .request(&if is_write {
                    write_request("b")
                } else {
                    read_request("b")
                })
                .await;
            let (status, body) = response.clone().unwrap_or_default();
            let received = proxy.requests_received(0, "b") + proxy.requests_received(1, "b");
            let expected = if is_write {
                write_statuses
            } else {
                read_statuses
            };
            if is_write && received > 1
                || body.contains("stray")
                || status == 200 && body != "to b"
                || !expected.contains(&status)
            {
                faults.push(format!(
                    "is_write {is_write}: {response:?}, received by units {received} times"
                ));
            }
        });
    }
    faults
}

/// Number of bytes that a unit receives for a client's request.
fn forwarded_length(text: &str) -> usize {
    run(async {
        let proxy = TestProxy::new(&[HEALTHY]);
        proxy.request(text).await;
        proxy.bytes_received(0)[0]
    })
}

/// Makes writes on new or reused connections that end after each byte of the request, and returns those that were sent to
/// another unit although a byte had left.
fn find_unsafe_retries(is_reused: bool) -> Vec<String> {
    let (before, all) = (
        if is_reused {
            forwarded_length(&read_request("a"))
        } else {
            0
        },
        forwarded_length(&write_request("b")),
    );
    let bytes = usize::from(is_reused)..=all;
    let mut found = Vec::new();
    for (cut, byte) in CUTS
        .into_iter()
        .flat_map(|cut| bytes.clone().map(move |byte| (cut, byte)))
    {
        run(async {
            let proxy = TestProxy::new(&[
                Script {
                    max_received: before + byte,
                    cut,
                    ..HEALTHY
                },
                HEALTHY,
            ]);
            if is_reused {
                assert_eq!(
                    proxy.request(&read_request("a")).await,
                    Some((200, "to a".into()))
                );
            }
            let (status, _) = proxy.request(&write_request("b")).await.unwrap();
            let retried: usize = proxy.bytes_received(1).iter().sum();
            if byte > 0 && retried > 0 {
                found.push(format!(
                    "{cut:?} after {byte} of {all}: {retried} bytes sent to another unit"
                ));
            }
            let expected: &[u16] = match byte {
                0 => &[200, 503],
                _ if byte == all => &[200],
                _ => &[502, 504],
            };
            assert!(
                !found.is_empty() || expected.contains(&status),
                "{cut:?} after {byte} of {all} bytes: {status}"
            );
        });
    }
    found
}

#[test]
fn write_is_not_retried_once_a_byte_was_sent() {
    assert_eq!(find_unsafe_retries(false), [] as [String; 0]);
    assert_eq!(find_unsafe_retries(true), [] as [String; 0]);
    let _disabled = disable(Some(Safeguard::PartialSend));
    assert!(!find_unsafe_retries(false).is_empty());
}

#[test]
fn streamed_write_is_sent_only_once() {
    let large = write_request("b")
        .replace("Length: 4", "Length: 150000")
        .replace("\r\n\r\nbody", "\r\n\r\n")
        + &"x".repeat(150_000);
    let all = forwarded_length(&large);
    for (cut, byte) in CUTS.into_iter().flat_map(|cut| {
        [0, 1]
            .into_iter()
            .chain((100..all).step_by(9973))
            .map(move |byte| (cut, byte))
    }) {
        run(async {
            let proxy = TestProxy::new(&[
                Script {
                    max_received: byte,
                    cut,
                    ..HEALTHY
                },
                HEALTHY,
            ]);
            let (status, _) = proxy.request(&large).await.unwrap();
            let expected: &[u16] = if byte == 0 { &[503] } else { &[502, 504] };
            assert!(
                expected.contains(&status),
                "{cut:?} after {byte} of {all} bytes: {status}"
            );
            assert_eq!(
                proxy.bytes_received(1),
                [] as [usize; 0],
                "{cut:?} after {byte} of {all}"
            );
        });
    }
}

#[test]
fn truncated_response_leads_to_a_retry_of_reads_only() {
    let faults = || {
        let all = correct_response("b").len();
        let cuts = CUTS
            .into_iter()
            .flat_map(|cut| (0..all).map(move |byte| (cut, byte)));
        cuts.flat_map(|(cut, max_sent)| {
            find_faults(
                Script {
                    max_sent,
                    cut,
                    ..HEALTHY
                },
                false,
                &[502, 504],
                &[200],
            )
        })
        .collect::<Vec<_>>()
    };
    assert_eq!(faults(), [] as [String; 0]);
    let _disabled = disable(Some(Safeguard::MaybeExecuted));
    assert!(!faults().is_empty());
}

const NOT_EXECUTED: &str = "Beechcroft-Not-Executed: 1\r\n";

/// A response whose body must not reach the client.
fn foreign_response(status: &str, id: &str, lines: &str) -> String {
    response(status, id, lines, "stray")
}

/// Finds faults when a unit sends a foreign response before the one to `b`, on new and on reused connections. The foreign
/// response carries another attempt id if `has_id`, and none otherwise.
fn find_foreign_response_faults(has_id: bool) -> Vec<String> {
    type Respond = fn(usize, &str, &str) -> String;
    fn prepend_for_b(foreign: String, id: &str) -> String {
        if id == "b" {
            foreign + &correct_response(id)
        } else {
            correct_response(id)
        }
    }
    let all: [Respond; 8] = [
        |_, _, id| prepend_for_b(foreign_response("503 No", "", NOT_EXECUTED), id),
        |_, _, id| prepend_for_b(foreign_response("421 No", "", ""), id),
        |_, _, id| prepend_for_b(foreign_response("500 No", "", ""), id),
        |_, _, id| {
            prepend_for_b(
                foreign_response("200 OK", "", "Beechcroft-Server-Seal: s\r\n"),
                id,
            )
        },
        |_, _, id| prepend_for_b(foreign_response("503 No", "other", NOT_EXECUTED), id),
        |_, _, id| prepend_for_b(foreign_response("421 No", "other", ""), id),
        |_, _, id| prepend_for_b(foreign_response("500 No", "other", ""), id),
        |_, _, id| {
            prepend_for_b(
                foreign_response("200 OK", "other", "Beechcroft-Server-Seal: s\r\n"),
                id,
            )
        },
    ];
    let (responses, write_status) = if has_id {
        (&all[4..], 200)
    } else {
        (&all[..4], 502)
    };
    let cases = responses
        .iter()
        .flat_map(|&respond| [true, false].map(|is_reused| (respond, is_reused)));
    cases
        .flat_map(|(respond, is_reused)| {
            find_faults(
                Script { respond, ..HEALTHY },
                is_reused,
                &[write_status],
                &[200],
            )
        })
        .collect()
}

#[test]
fn responses_without_id_or_with_another_id_are_not_forwarded() {
    assert_eq!(
        (
            find_foreign_response_faults(false),
            find_foreign_response_faults(true)
        ),
        (vec![], vec![])
    );
    for (safeguard, has_id) in [
        (Safeguard::UnidentifiedResponses, false),
        (Safeguard::ForeignResponses, true),
    ] {
        let _disabled = disable(Some(safeguard));
        let found = find_foreign_response_faults(has_id);
        assert!(
            found.iter().any(|fault| fault.contains("2 times")),
            "{safeguard}: {found:?}"
        );
        assert!(
            found.iter().any(|fault| fault.contains("stray")),
            "{safeguard}: {found:?}"
        );
    }
}

#[test]
fn contradictory_response_is_no_proof_that_a_write_was_not_executed() {
    let success_with_rejection = |_: usize, _: &str, id: &str| {
        foreign_response(
            "200 OK",
            id,
            &format!("Beechcroft-Server-Seal: s\r\n{NOT_EXECUTED}"),
        )
    };
    let two_attempt_ids = |_: usize, _: &str, id: &str| {
        foreign_response(
            "503 No",
            "other",
            &format!("Beechcroft-Attempt-Id: {id}\r\n{NOT_EXECUTED}"),
        )
    };
    for (safeguard, respond) in [
        (
            Safeguard::RejectionStatus,
            success_with_rejection as fn(usize, &str, &str) -> String,
        ),
        (Safeguard::ConflictingAttemptIds, two_attempt_ids),
    ] {
        let found = || find_faults(Script { respond, ..HEALTHY }, false, &[502], &[200]);
        assert_eq!(found(), [] as [String; 0], "{safeguard}");
        let _disabled = disable(Some(safeguard));
        assert!(!found().is_empty(), "{safeguard}");
    }
}

#[test]
fn connection_with_unread_bytes_or_closed_by_the_unit_is_not_reused() {
    let cases: [fn(usize, &str, &str) -> String; 4] = [
        |_, _, id| correct_response(id) + &foreign_response("503 No", id, NOT_EXECUTED),
        |_, _, id| correct_response(id) + "HTTP/1.1 200 OK\r\nBeech",
        |_, _, id| correct_response(id) + "\0\0 not HTTP",
        |_, _, id| correct_response(id),
    ];
    let found = || {
        let cases = cases.iter().enumerate();
        cases
            .flat_map(|(case, &respond)| {
                let max_sent = if case == 3 {
                    correct_response("a").len()
                } else {
                    usize::MAX
                };
                let expected = if case == 3 { &[200, 502][..] } else { &[200] };
                run(async {
                    let proxy = TestProxy::new(&[
                        Script {
                            respond,
                            max_sent,
                            ..HEALTHY
                        },
                        HEALTHY,
                    ]);
                    proxy.request(&read_request("a")).await;
                    let response = proxy.request(&write_request("b")).await;
                    let is_expected = response
                        .as_ref()
                        .is_some_and(|(status, _)| expected.contains(status));
                    (!is_expected || proxy.bytes_received(0).len() != 2)
                        .then(|| format!("{case}: {response:?}"))
                })
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(found(), [] as [String; 0]);
    let _disabled = disable(Some(Safeguard::CleanConnections));
    assert_eq!(found().len(), 4, "{:?}", found());
}

#[test]
fn late_body_of_a_head_response_does_not_corrupt_later_responses() {
    let respond = |index: usize, method: &str, id: &str| match (index, method) {
        (_, "HEAD") => correct_response(id).replace(&format!("to {id}"), ""),
        (0, _) => correct_response(id),
        _ => correct_response("a").replace("to a", "") + &correct_response(id),
    };
    let last_response = || {
        run(async {
            let proxy = TestProxy::new(&[Script { respond, ..HEALTHY }]);
            let _ = proxy
                .request(&read_request("a").replace("GET", "HEAD"))
                .await;
            proxy.request(&write_request("b")).await
        })
    };
    assert_eq!(last_response(), Some((200, "to b".into())));
    let _disabled = disable(Some(Safeguard::NoReuseAfterHead));
    assert_ne!(last_response(), Some((200, "to b".into())));
}

#[test]
fn request_without_an_attempt_id_is_not_forwarded() {
    let without_id = write_request("b").replace("Beechcroft-Attempt-Id: b\r\n", "");
    let status_and_connections = || {
        run(async {
            let proxy = TestProxy::new(&[HEALTHY]);
            (
                proxy.request(&without_id).await.map(|response| response.0),
                proxy.bytes_received(0).len(),
            )
        })
    };
    assert_eq!(status_and_connections(), (Some(400), 0));
    let _disabled = disable(Some(Safeguard::AttemptIdRequired));
    assert_eq!(status_and_connections().1, 1);
}

#[test]
fn pipelined_requests_get_their_responses_in_order_for_every_framing() {
    let respond = |_: usize, method: &str, id: &str| match id {
        "b" => response("204 None", id, "Beechcroft-Server-Seal: s\r\n", ""),
        "c" => response("304 Same", id, "", "").replace("Content-Length: 0", "Content-Length: 9"),
        "d" => {
            response("200 OK", id, "Beechcroft-Server-Seal: s\r\n", "")
                .replace("Content-Length: 0", "Transfer-Encoding: chunked")
                + "3;x=y\r\nto \r\n1\r\nd\r\n0\r\nTo: e\r\n\r\n"
        }
        "e" => {
            "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n".to_owned() + &correct_response(id)
        }
        _ if method == "HEAD" => correct_response(id).replace(&format!("to {id}"), ""),
        _ => correct_response(id),
    };
    run(async {
        let proxy = TestProxy::new(&[Script { respond, ..HEALTHY }]);
        let requests: String = ["a", "b", "c", "d", "e"].map(read_request).concat();
        proxy.send(&(requests + &read_request("f").replace("GET", "HEAD") + &write_request("g")));
        for (status, body) in [
            (200, "to a"),
            (204, ""),
            (304, ""),
            (200, "to d"),
            (200, "to e"),
            (200, ""),
            (200, "to g"),
        ] {
            assert_eq!(proxy.next_response().await, Some((status, body.to_owned())));
        }
    });
}

#[test]
fn abandoned_attempt_closes_its_connection() {
    run(async {
        let silent = Script {
            max_sent: 0,
            cut: Cut::Silence,
            ..HEALTHY
        };
        let proxy = TestProxy::new(&[silent, HEALTHY]);
        // Each request is hedged at the second unit, which responds. The first unit's connections carry one request each.
        for id in ["a", "b", "c"] {
            assert_eq!(
                proxy.request(&read_request(id)).await,
                Some((200, format!("to {id}")))
            );
        }
        assert!(
            proxy
                .bytes_received(0)
                .iter()
                .all(|bytes| *bytes <= max_forwarded_length(&read_request("a"))),
            "{:?}",
            proxy.bytes_received(0)
        );
        let links = proxy.units.links.lock().unwrap();
        assert!(links
            .iter()
            .filter(|link| link.0 == 0)
            .all(|link| link.1.lock().unwrap().closed));
    });
    run(async {
        let silent = Script {
            max_sent: 0,
            cut: Cut::Silence,
            ..HEALTHY
        };
        let proxy = TestProxy::new(&[silent]);
        proxy.send(&write_request("a"));
        while proxy.requests_received(0, "a") == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        proxy.client.lock().unwrap().closed = true;
        proxy.send("");
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert!(
            proxy.units.links.lock().unwrap()[0]
                .1
                .lock()
                .unwrap()
                .closed
        );
    });
}

/// Upper bound of the bytes that the proxy sends to a unit for a client's request.
fn max_forwarded_length(text: &str) -> usize {
    text.len() + 100
}

#[test]
fn truncated_response_does_not_look_complete_to_the_client() {
    let chunked = |_: usize, _: &str, id: &str| {
        let body = "x".repeat(200_000);
        let head = response("200 OK", id, "Beechcroft-Server-Seal: s\r\n", "");
        head.replace("Content-Length: 0", "Transfer-Encoding: chunked")
            + &format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
    };
    let with_length = |_: usize, _: &str, id: &str| {
        response(
            "200 OK",
            id,
            "Beechcroft-Server-Seal: s\r\n",
            &"x".repeat(200_000),
        )
    };
    let count_complete = |respond: fn(usize, &str, &str) -> String| {
        let response_after = |cut| {
            run(async move {
                TestProxy::new(&[Script {
                    max_sent: 150_000,
                    cut,
                    respond,
                    ..HEALTHY
                }])
                .request(&read_request("a"))
                .await
            })
        };
        CUTS.into_iter().filter_map(response_after).count()
    };
    assert_eq!(
        (count_complete(with_length), count_complete(chunked)),
        (0, 0)
    );
    let _disabled = disable(Some(Safeguard::TruncatedResponse));
    assert_eq!(count_complete(chunked), 3);
}

#[test]
fn unread_request_body_is_not_parsed_as_a_request() {
    let inner = write_request("b");
    let outer = format!(
        "POST /none/ HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: a\r\nContent-Length: {}\r\n\r\n{inner}",
        inner.len()
    );
    let inner_requests = || {
        run(async {
            let proxy = TestProxy::new(&[HEALTHY]);
            assert_eq!(proxy.request(&outer).await.unwrap().0, 404);
            proxy.next_response().await;
            proxy.requests_received(0, "b")
        })
    };
    assert_eq!(inner_requests(), 0);
    let _disabled = disable(Some(Safeguard::UnreadRequestBody));
    assert_eq!(inner_requests(), 1);
}
