//! The follower against a store that goes wrong: whatever it does, a claim is a permission only where the store proves that
//! this claim is the one it holds.

use beechcroft::{PeerId, TrackId, UnitId};
use beechcroft_fakes::store::{FakeStore, Script};
use beechcroft_shared::marks::{ClaimOutcome, ExecutionMark};
use beechcroft_shared::RelayIncarnation;
use beechcroft_store::{mark_key, StoreClient, StoreConfig, StoreRequest};
use std::time::{Duration, Instant};

const RETENTION: Duration = Duration::from_secs(7);
/// Longer than anything takes where a store answers.
const WAIT: Duration = Duration::from_secs(10);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn mark(relay: u32, unit: Option<&str>) -> ExecutionMark {
    ExecutionMark {
        owner: RelayIncarnation {
            relay: PeerId(relay),
            incarnation: 0xabc,
        },
        unit: unit.map(|unit| UnitId(unit.into())),
    }
}

fn place(store: &FakeStore, seed: u64) -> StoreConfig {
    StoreConfig {
        address: store.address(),
        user: String::new(),
        password: String::new(),
        database: 0,
        seed,
    }
}

fn key(key: &str) -> String {
    mark_key("bc:", TrackId(1), None, key)
}

async fn claim(store: &StoreClient, of: &str) -> ClaimOutcome {
    store.claim(key(of), mark(0, None), RETENTION, WAIT).await
}

/// Asks until there is a connection; unasked until then.
async fn connected(store: &StoreClient) {
    let began = Instant::now();
    while claim(store, &format!("c-{:?}", began.elapsed())).await != ClaimOutcome::Claimed {
        assert!(began.elapsed() < WAIT, "no connection");
        tokio::time::sleep(ms(10)).await;
    }
}

#[tokio::test]
async fn of_two_relays_one_has_the_claim_and_the_other_finds_where_it_was_sent() {
    let fake = FakeStore::start().unwrap();
    let [one, two] = [1, 2].map(|seed| StoreClient::spawn(place(&fake, seed)));
    connected(&one).await;
    connected(&two).await;
    assert_eq!(claim(&one, "k").await, ClaimOutcome::Claimed);
    let found = two.claim(key("k"), mark(1, None), RETENTION, WAIT).await;
    let ClaimOutcome::AlreadyMarked {
        mark: of,
        remaining: left,
    } = found
    else {
        panic!("{found:?}")
    };
    assert_eq!(of, mark(0, None));
    assert!(left <= RETENTION && left > RETENTION - WAIT.min(ms(5000)));
    assert!(one.try_send(StoreRequest::RecordSent {
        name: key("k"),
        mark: mark(0, Some("u-7")),
        retention: RETENTION
    }));
    assert_eq!(claim(&one, "after").await, ClaimOutcome::Claimed); // the one before it is through
    let found = two.claim(key("k"), mark(1, None), RETENTION, WAIT).await;
    assert!(
        matches!(found, ClaimOutcome::AlreadyMarked { mark: of, .. } if of == mark(0, Some("u-7")))
    );
    assert!(fake
        .keys()
        .iter()
        .all(|(key, left)| key.starts_with("bc:m:1:-:") && left.is_some()));
}

#[tokio::test]
async fn claims_asked_together_go_out_together_and_each_has_its_own_answer() {
    let fake = FakeStore::start().unwrap();
    let store = StoreClient::spawn(place(&fake, 1));
    connected(&store).await;
    let all = (0..200).map(|nth| {
        let store = store.clone();
        tokio::spawn(async move { claim(&store, &format!("k-{}", nth % 100)).await })
    });
    let mut first = 0;
    for task in all.collect::<Vec<_>>() {
        match task.await.unwrap() {
            ClaimOutcome::Claimed => first += 1,
            ClaimOutcome::AlreadyMarked { mark: of, .. } => assert_eq!(of, mark(0, None)),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((first, fake.connections_opened()), (100, 1));
}

#[tokio::test]
async fn replies_swapped_dropped_or_cut_are_noticed_and_never_a_permission() {
    let scripts = [
        Script {
            reverse: true,
            ..Script::default()
        },
        Script {
            drop_each: Some(4),
            ..Script::default()
        },
        Script {
            cut_after: Some(2),
            ..Script::default()
        },
        Script {
            refuse: Some("LOADING Redis is loading the dataset in memory".to_owned()),
            ..Script::default()
        },
        Script {
            refuse: Some("MOVED 3999 127.0.0.1:6381".to_owned()),
            ..Script::default()
        },
        Script {
            do_and_refuse: Some("OOM command not allowed".to_owned()),
            ..Script::default()
        },
        Script {
            refuse: Some("READONLY You can't write against a read only replica.".to_owned()),
            ..Script::default()
        },
    ];
    for (nth, script) in scripts.into_iter().enumerate() {
        let fake = FakeStore::start().unwrap();
        let store = StoreClient::spawn(place(&fake, 1));
        connected(&store).await;
        fake.set_script(script.clone());
        let both = tokio::join!(claim(&store, "a"), claim(&store, "b"));
        for found in [both.0, both.1] {
            assert!(
                matches!(found, ClaimOutcome::Unknown | ClaimOutcome::NotSent),
                "{nth}: {found:?} of {script:?}"
            );
        }
        // Once it is sound, it is used again.
        fake.set_script(Script::default());
        connected(&store).await;
    }
}

#[tokio::test]
async fn a_slow_store_holds_nobody_up_and_one_that_vanished_is_found_again() {
    let fake = FakeStore::start().unwrap();
    let store = StoreClient::spawn(place(&fake, 1));
    connected(&store).await;
    fake.set_script(Script {
        pause: ms(300),
        ..Script::default()
    });
    let began = Instant::now();
    assert_eq!(
        store
            .claim(key("slow"), mark(0, None), RETENTION, ms(20))
            .await,
        ClaimOutcome::Unknown
    );
    assert!(began.elapsed() < ms(250));
    fake.set_script(Script::default());
    fake.go_down();
    let began = Instant::now();
    // With no connection nobody waits at all: as soon as its end is seen, claims are told that they are not asked.
    while claim(&store, "gone").await != ClaimOutcome::NotSent {
        assert!(began.elapsed() < WAIT);
    }
    fake.come_up();
    connected(&store).await;
    assert!(fake.connections_opened() >= 2);
}

#[tokio::test]
async fn ten_thousand_open_waits_end_in_their_time_when_the_store_stops() {
    let fake = FakeStore::start().unwrap();
    let store = StoreClient::spawn(place(&fake, 1));
    connected(&store).await;
    fake.set_script(Script {
        pause: ms(60_000),
        ..Script::default()
    });
    let all = (0..10_000).map(|nth| {
        let store = store.clone();
        tokio::spawn(async move {
            store
                .claim(key(&format!("w-{nth}")), mark(0, None), RETENTION, ms(50))
                .await
        })
    });
    for task in all.collect::<Vec<_>>() {
        let found = task.await.unwrap();
        assert!(
            matches!(found, ClaimOutcome::Unknown | ClaimOutcome::NotSent),
            "{found:?}"
        );
    }
}

#[tokio::test]
async fn resp2_is_spoken_where_resp3_is_refused_and_a_wrong_password_is_named() {
    let fake = FakeStore::start().unwrap();
    fake.set_script(Script {
        only_resp2: true,
        password: Some("pw".to_owned()),
        ..Script::default()
    });
    let store = StoreClient::spawn(StoreConfig {
        password: "pw".to_owned(),
        database: 3,
        ..place(&fake, 1)
    });
    connected(&store).await;
    let asked = fake.commands();
    assert!(asked
        .iter()
        .any(|words| words[0] == "SELECT" && words[1] == "3"));
    let store = StoreClient::spawn(StoreConfig {
        password: "no".to_owned(),
        ..place(&fake, 2)
    });
    tokio::time::sleep(ms(200)).await;
    assert_eq!(claim(&store, "k").await, ClaimOutcome::NotSent);
}

#[tokio::test]
async fn a_store_that_moved_is_followed_and_what_was_open_is_unknown() {
    let [old, new] = [(); 2].map(|()| FakeStore::start().unwrap());
    let store = StoreClient::spawn(place(&old, 1));
    connected(&store).await;
    old.set_script(Script {
        pause: ms(60_000),
        ..Script::default()
    });
    let open = tokio::spawn({
        let store = store.clone();
        async move { claim(&store, "open").await }
    });
    while old
        .commands()
        .iter()
        .all(|words| !words.iter().any(|word| word.ends_with(":open")))
    {
        tokio::time::sleep(ms(5)).await;
    }
    assert!(store.try_send(StoreRequest::AddressChanged(new.address())));
    assert_eq!(open.await.unwrap(), ClaimOutcome::Unknown);
    connected(&store).await;
    assert!(new.connections_opened() == 1);
}
