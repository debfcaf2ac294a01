//! Whose an answer is, and whether a request may have left: units that say something in the place of an answer, and
//! connections that end at each byte of a request and of an answer. No sockets; the clock stands unless all wait.

mod outcomes;

use beechcroft_safeguards::{disable, Safeguard};
use outcomes::{answer, read, right, run, write, Cut, Script, Stand, CUTS, SOUND};
use std::time::Duration;

/// Asks for `b` after `before` have been answered; what is wrong with how that ended, for a write and for a read.
fn wrongs(first: Script, before: bool, write_ends: &[u16], read_ends: &[u16]) -> Vec<String> {
    let mut wrong = Vec::new();
    for writes in [true, false] {
        run(async {
            let stand = Stand::new(&[first, SOUND]);
            if before {
                assert_eq!(stand.ask(&read("a")).await, Some((200, "to a".into())));
            }
            let ended = stand
                .ask(&if writes { write("b") } else { read("b") })
                .await;
            let (status, body) = ended.clone().unwrap_or_default();
            let ran = stand.seen(0, "b") + stand.seen(1, "b");
            let ends = if writes { write_ends } else { read_ends };
            if writes && ran > 1
                || body.contains("stray")
                || status == 200 && body != "to b"
                || !ends.contains(&status)
            {
                wrong.push(format!("writes {writes}: {ended:?}, at units {ran} times"));
            }
        });
    }
    wrong
}

/// What leaves for a unit whole.
fn length(text: &str) -> usize {
    run(async {
        let stand = Stand::new(&[SOUND]);
        stand.ask(text).await;
        stand.taken(0)[0]
    })
}

/// A write on a connection that ends after each byte of it; texts of those that went on to another unit all the same.
fn sent_on(kept: bool) -> Vec<String> {
    let (before, all) = (
        if kept { length(&read("a")) } else { 0 },
        length(&write("b")),
    );
    let bytes = usize::from(kept)..=all;
    let mut found = Vec::new();
    for (cut, byte) in CUTS
        .into_iter()
        .flat_map(|cut| bytes.clone().map(move |byte| (cut, byte)))
    {
        run(async {
            let stand = Stand::new(&[
                Script {
                    takes: before + byte,
                    cut,
                    ..SOUND
                },
                SOUND,
            ]);
            if kept {
                assert_eq!(stand.ask(&read("a")).await, Some((200, "to a".into())));
            }
            let (status, _) = stand.ask(&write("b")).await.unwrap();
            let on: usize = stand.taken(1).iter().sum();
            if byte > 0 && on > 0 {
                found.push(format!("{cut:?} after {byte} of {all}: {on} bytes went on"));
            }
            let ends: &[u16] = match byte {
                0 => &[200, 503],
                _ if byte == all => &[200],
                _ => &[502, 504],
            };
            assert!(
                !found.is_empty() || ends.contains(&status),
                "{cut:?} after {byte} of {all}: {status}"
            );
        });
    }
    found
}

#[test]
fn a_write_of_which_one_byte_has_left_goes_nowhere_else_wherever_its_connection_ends() {
    assert_eq!(sent_on(false), [] as [String; 0]);
    assert_eq!(sent_on(true), [] as [String; 0]);
    let _out = disable(Some(Safeguard::PartialSend));
    assert!(!sent_on(false).is_empty());
}

#[test]
fn a_write_too_large_to_be_held_is_sent_once_wherever_its_connection_ends() {
    let large = write("b")
        .replace("Length: 4", "Length: 150000")
        .replace("\r\n\r\nbody", "\r\n\r\n")
        + &"x".repeat(150_000);
    let all = length(&large);
    for (cut, byte) in CUTS.into_iter().flat_map(|cut| {
        [0, 1]
            .into_iter()
            .chain((100..all).step_by(9973))
            .map(move |byte| (cut, byte))
    }) {
        run(async {
            let stand = Stand::new(&[
                Script {
                    takes: byte,
                    cut,
                    ..SOUND
                },
                SOUND,
            ]);
            let (status, _) = stand.ask(&large).await.unwrap();
            let ends: &[u16] = if byte == 0 { &[503] } else { &[502, 504] };
            assert!(
                ends.contains(&status),
                "{cut:?} after {byte} of {all}: {status}"
            );
            assert_eq!(
                stand.taken(1),
                [] as [usize; 0],
                "{cut:?} after {byte} of {all}"
            );
        });
    }
}

#[test]
fn a_write_whose_answer_ends_at_any_byte_is_not_sent_again_and_a_read_is() {
    let broken = || {
        let all = right("b").len();
        let cuts = CUTS
            .into_iter()
            .flat_map(|cut| (0..all).map(move |byte| (cut, byte)));
        cuts.flat_map(|(cut, gives)| {
            wrongs(
                Script {
                    gives,
                    cut,
                    ..SOUND
                },
                false,
                &[502, 504],
                &[200],
            )
        })
        .collect::<Vec<_>>()
    };
    assert_eq!(broken(), [] as [String; 0]);
    let _out = disable(Some(Safeguard::MaybeExecuted));
    assert!(!broken().is_empty());
}

const REFUSED: &str = "Beechcroft-Not-Executed: 1\r\n";

fn stray(status: &str, id: &str, lines: &str) -> String {
    answer(status, id, lines, "stray")
}

/// Strays in the place of the answer to `b`, on a connection that has been used once or not.
fn strays(named: bool) -> Vec<String> {
    type Says = fn(usize, &str, &str) -> String;
    fn ahead(stray: String, id: &str) -> String {
        if id == "b" {
            stray + &right(id)
        } else {
            right(id)
        }
    }
    let all: [Says; 8] = [
        |_, _, id| ahead(stray("503 No", "", REFUSED), id),
        |_, _, id| ahead(stray("421 No", "", ""), id),
        |_, _, id| ahead(stray("500 No", "", ""), id),
        |_, _, id| ahead(stray("200 OK", "", "Beechcroft-Server-Seal: s\r\n"), id),
        |_, _, id| ahead(stray("503 No", "other", REFUSED), id),
        |_, _, id| ahead(stray("421 No", "other", ""), id),
        |_, _, id| ahead(stray("500 No", "other", ""), id),
        |_, _, id| {
            ahead(
                stray("200 OK", "other", "Beechcroft-Server-Seal: s\r\n"),
                id,
            )
        },
    ];
    let (says, write_ends) = if named {
        (&all[4..], 200)
    } else {
        (&all[..4], 502)
    };
    let each = says
        .iter()
        .flat_map(|&says| [true, false].map(|before| (says, before)));
    each.flat_map(|(says, before)| wrongs(Script { says, ..SOUND }, before, &[write_ends], &[200]))
        .collect()
}

#[test]
fn what_comes_under_no_id_or_under_another_in_the_place_of_an_answer_is_not_believed() {
    assert_eq!((strays(false), strays(true)), (vec![], vec![]));
    for (guard, named) in [
        (Safeguard::UnidentifiedResponses, false),
        (Safeguard::ForeignResponses, true),
    ] {
        let _out = disable(Some(guard));
        let found = strays(named);
        assert!(
            found.iter().any(|said| said.contains("2 times")),
            "{guard}: {found:?}"
        );
        assert!(
            found.iter().any(|said| said.contains("stray")),
            "{guard}: {found:?}"
        );
    }
}

#[test]
fn an_answer_that_contradicts_itself_does_not_say_that_a_write_was_not_run() {
    let success = |_: usize, _: &str, id: &str| {
        stray(
            "200 OK",
            id,
            &format!("Beechcroft-Server-Seal: s\r\n{REFUSED}"),
        )
    };
    let two = |_: usize, _: &str, id: &str| {
        stray(
            "503 No",
            "other",
            &format!("Beechcroft-Attempt-Id: {id}\r\n{REFUSED}"),
        )
    };
    for (guard, says) in [
        (
            Safeguard::RejectionStatus,
            success as fn(usize, &str, &str) -> String,
        ),
        (Safeguard::ConflictingAttemptIds, two),
    ] {
        let found = || wrongs(Script { says, ..SOUND }, false, &[502], &[200]);
        assert_eq!(found(), [] as [String; 0], "{guard}");
        let _out = disable(Some(guard));
        assert!(!found().is_empty(), "{guard}");
    }
}

#[test]
fn a_connection_with_something_behind_an_answer_or_closed_by_its_unit_is_not_used_again() {
    let behind: [fn(usize, &str, &str) -> String; 4] = [
        |_, _, id| right(id) + &stray("503 No", id, REFUSED),
        |_, _, id| right(id) + "HTTP/1.1 200 OK\r\nBeech",
        |_, _, id| right(id) + "\0\0 what is this",
        |_, _, id| right(id),
    ];
    let found = || {
        let each = behind.iter().enumerate();
        each.flat_map(|(at, &says)| {
            let gives = if at == 3 {
                right("a").len()
            } else {
                usize::MAX
            };
            let bound = if at == 3 { &[200, 502][..] } else { &[200] };
            run(async {
                let stand = Stand::new(&[
                    Script {
                        says,
                        gives,
                        ..SOUND
                    },
                    SOUND,
                ]);
                stand.ask(&read("a")).await;
                let ended = stand.ask(&write("b")).await;
                let own = ended
                    .as_ref()
                    .is_some_and(|(status, _)| bound.contains(status));
                (!own || stand.taken(0).len() != 2).then(|| format!("{at}: {ended:?}"))
            })
        })
        .collect::<Vec<_>>()
    };
    assert_eq!(found(), [] as [String; 0]);
    let _out = disable(Some(Safeguard::CleanConnections));
    assert_eq!(found().len(), 4, "{:?}", found());
}

#[test]
fn a_late_answer_to_a_head_does_not_eat_into_the_next_ones() {
    let says = |nth: usize, method: &str, id: &str| match (nth, method) {
        (_, "HEAD") => right(id).replace(&format!("to {id}"), ""),
        (0, _) => right(id),
        _ => right("a").replace("to a", "") + &right(id),
    };
    let ends = || {
        run(async {
            let stand = Stand::new(&[Script { says, ..SOUND }]);
            let _ = stand.ask(&read("a").replace("GET", "HEAD")).await;
            stand.ask(&write("b")).await
        })
    };
    assert_eq!(ends(), Some((200, "to b".into())));
    let _out = disable(Some(Safeguard::NoReuseAfterHead));
    assert_ne!(ends(), Some((200, "to b".into())));
}

#[test]
fn a_request_without_an_id_is_not_offered() {
    let nameless = write("b").replace("Beechcroft-Attempt-Id: b\r\n", "");
    let ends = || {
        run(async {
            let stand = Stand::new(&[SOUND]);
            (
                stand.ask(&nameless).await.map(|ended| ended.0),
                stand.taken(0).len(),
            )
        })
    };
    assert_eq!(ends(), (Some(400), 0));
    let _out = disable(Some(Safeguard::AttemptIdRequired));
    assert_eq!(ends().1, 1);
}

#[test]
fn requests_in_one_piece_get_their_answers_in_turn_however_these_are_framed() {
    let says = |_: usize, method: &str, id: &str| match id {
        "b" => answer("204 None", id, "Beechcroft-Server-Seal: s\r\n", ""),
        "c" => answer("304 Same", id, "", "").replace("Content-Length: 0", "Content-Length: 9"),
        "d" => {
            answer("200 OK", id, "Beechcroft-Server-Seal: s\r\n", "")
                .replace("Content-Length: 0", "Transfer-Encoding: chunked")
                + "3;x=y\r\nto \r\n1\r\nd\r\n0\r\nTo: e\r\n\r\n"
        }
        "e" => "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n".to_owned() + &right(id),
        _ if method == "HEAD" => right(id).replace(&format!("to {id}"), ""),
        _ => right(id),
    };
    run(async {
        let stand = Stand::new(&[Script { says, ..SOUND }]);
        let asks: String = ["a", "b", "c", "d", "e"].map(read).concat();
        stand.send(&(asks + &read("f").replace("GET", "HEAD") + &write("g")));
        for (status, body) in [
            (200, "to a"),
            (204, ""),
            (304, ""),
            (200, "to d"),
            (200, "to e"),
            (200, ""),
            (200, "to g"),
        ] {
            assert_eq!(stand.next().await, Some((status, body.to_owned())));
        }
    });
}

#[test]
fn an_offer_that_was_left_takes_its_connection_and_its_answer_with_it() {
    run(async {
        let silent = Script {
            gives: 0,
            cut: Cut::Silence,
            ..SOUND
        };
        let stand = Stand::new(&[silent, SOUND]);
        // A second unit is asked beside the first, and answers; then each gets only its own.
        for id in ["a", "b", "c"] {
            assert_eq!(stand.ask(&read(id)).await, Some((200, format!("to {id}"))));
        }
        assert!(
            stand
                .taken(0)
                .iter()
                .all(|bytes| *bytes <= length_of(&read("a"))),
            "{:?}",
            stand.taken(0)
        );
        let lanes = stand.units.lanes.lock().unwrap();
        assert!(lanes
            .iter()
            .filter(|lane| lane.0 == 0)
            .all(|lane| lane.1.lock().unwrap().closed));
    });
    run(async {
        let silent = Script {
            gives: 0,
            cut: Cut::Silence,
            ..SOUND
        };
        let stand = Stand::new(&[silent]);
        stand.send(&write("a"));
        while stand.seen(0, "a") == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        stand.client.lock().unwrap().closed = true;
        stand.send("");
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert!(
            stand.units.lanes.lock().unwrap()[0]
                .1
                .lock()
                .unwrap()
                .closed
        );
    });
}

/// More than a request of the relay's takes.
fn length_of(text: &str) -> usize {
    text.len() + 100
}

#[test]
fn an_answer_that_breaks_off_under_way_never_looks_whole() {
    let chunked = |_: usize, _: &str, id: &str| {
        let body = "x".repeat(200_000);
        let head = answer("200 OK", id, "Beechcroft-Server-Seal: s\r\n", "");
        head.replace("Content-Length: 0", "Transfer-Encoding: chunked")
            + &format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
    };
    let plain = |_: usize, _: &str, id: &str| {
        answer(
            "200 OK",
            id,
            "Beechcroft-Server-Seal: s\r\n",
            &"x".repeat(200_000),
        )
    };
    let whole = |says: fn(usize, &str, &str) -> String| {
        let ended = |cut| {
            run(async move {
                Stand::new(&[Script {
                    gives: 150_000,
                    cut,
                    says,
                    ..SOUND
                }])
                .ask(&read("a"))
                .await
            })
        };
        CUTS.into_iter().filter_map(ended).count()
    };
    assert_eq!((whole(plain), whole(chunked)), (0, 0));
    let _out = disable(Some(Safeguard::TruncatedResponse));
    assert_eq!(whole(chunked), 3);
}

#[test]
fn a_body_that_was_not_read_is_not_taken_for_a_request() {
    let inner = write("b");
    let outer = format!(
        "POST /none/ HTTP/1.1\r\nHost: h\r\nBeechcroft-Attempt-Id: a\r\nContent-Length: {}\r\n\r\n{inner}",
        inner.len()
    );
    let inner_runs = || {
        run(async {
            let stand = Stand::new(&[SOUND]);
            assert_eq!(stand.ask(&outer).await.unwrap().0, 404);
            stand.next().await;
            stand.seen(0, "b")
        })
    };
    assert_eq!(inner_runs(), 0);
    let _out = disable(Some(Safeguard::UnreadRequestBody));
    assert_eq!(inner_runs(), 1);
}
