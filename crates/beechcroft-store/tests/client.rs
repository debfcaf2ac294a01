//! The client against a faulty store. Whatever the store does, a claim is a permission only if the store's replies
//! prove that it holds this very claim.

use beechcroft::{PeerId, TrackId, UnitId};
use beechcroft_fakes::store::{FakeStore, Script};
use beechcroft_shared::marks::{ClaimOutcome, ExecutionMark};
use beechcroft_shared::RelayIncarnation;
use beechcroft_store::{mark_key, StoreClient, StoreConfig, StoreRequest};
use std::time::{Duration, Instant};

const RETENTION: Duration = Duration::from_secs(7);
/// Longer than any exchange takes with a store that answers.
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

fn config(store: &FakeStore, seed: u64) -> StoreConfig {
    StoreConfig {
        address: store.address(),
        user: String::new(),
        password: String::new(),
        database: 0,
        seed,
    }
}

fn store_key(key: &str) -> String {
    mark_key("bc:", TrackId(1), None, key)
}

async fn claim(store: &StoreClient, key: &str) -> ClaimOutcome {
    store
        .claim(store_key(key), mark(0, None), RETENTION, WAIT)
        .await
}

/// Waits until the client is connected: until then claims are not sent.
async fn wait_connected(store: &StoreClient) {
    let started = Instant::now();
    while claim(store, &format!("c-{:?}", started.elapsed())).await != ClaimOutcome::Claimed {
        assert!(started.elapsed() < WAIT, "no connection");
        tokio::time::sleep(ms(10)).await;
    }
}

#[tokio::test]
async fn one_of_two_relays_gets_the_claim_and_the_other_reads_where_the_task_was_sent() {
    let fake = FakeStore::start().unwrap();
    let [first, second] = [1, 2].map(|seed| StoreClient::spawn(config(&fake, seed)));
    wait_connected(&first).await;
    wait_connected(&second).await;
    assert_eq!(claim(&first, "k").await, ClaimOutcome::Claimed);
    let outcome = second
        .claim(store_key("k"), mark(1, None), RETENTION, WAIT)
        .await;
    let ClaimOutcome::AlreadyMarked {
        mark: found_mark,
        remaining,
    } = outcome
    else {
        panic!("{outcome:?}")
    };
    assert_eq!(found_mark, mark(0, None));
    assert!(remaining <= RETENTION && remaining > RETENTION - WAIT.min(ms(5000)));
    assert!(first.try_send(StoreRequest::RecordSent {
        key: store_key("k"),
        mark: mark(0, Some("u-7")),
        retention: RETENTION
    }));
    // Requests are processed in order: once this claim has its outcome, the update has been carried out.
    assert_eq!(claim(&first, "after").await, ClaimOutcome::Claimed);
    let outcome = second
        .claim(store_key("k"), mark(1, None), RETENTION, WAIT)
        .await;
    assert!(
        matches!(outcome, ClaimOutcome::AlreadyMarked { mark: found_mark, .. } if found_mark == mark(0, Some("u-7")))
    );
    assert!(fake
        .keys()
        .iter()
        .all(|(key, left)| key.starts_with("bc:m:1:-:") && left.is_some()));
}

#[tokio::test]
async fn concurrent_claims_share_one_connection_and_each_gets_its_own_outcome() {
    let fake = FakeStore::start().unwrap();
    let store = StoreClient::spawn(config(&fake, 1));
    wait_connected(&store).await;
    let claims = (0..200).map(|index| {
        let store = store.clone();
        tokio::spawn(async move { claim(&store, &format!("k-{}", index % 100)).await })
    });
    let mut claimed = 0;
    for task in claims.collect::<Vec<_>>() {
        match task.await.unwrap() {
            ClaimOutcome::Claimed => claimed += 1,
            ClaimOutcome::AlreadyMarked {
                mark: found_mark, ..
            } => assert_eq!(found_mark, mark(0, None)),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((claimed, fake.connections_opened()), (100, 1));
}

#[tokio::test]
async fn reordered_dropped_or_truncated_replies_and_errors_never_permit() {
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
    for (index, script) in scripts.into_iter().enumerate() {
        let fake = FakeStore::start().unwrap();
        let store = StoreClient::spawn(config(&fake, 1));
        wait_connected(&store).await;
        fake.set_script(script.clone());
        let outcomes = tokio::join!(claim(&store, "a"), claim(&store, "b"));
        for outcome in [outcomes.0, outcomes.1] {
            assert!(
                matches!(outcome, ClaimOutcome::Unknown | ClaimOutcome::NotSent),
                "{index}: {outcome:?} with {script:?}"
            );
        }
        // The client reconnects once the store works again.
        fake.set_script(Script::default());
        wait_connected(&store).await;
    }
}

#[tokio::test]
async fn a_slow_store_delays_no_caller_and_a_lost_connection_is_restored() {
    let fake = FakeStore::start().unwrap();
    let store = StoreClient::spawn(config(&fake, 1));
    wait_connected(&store).await;
    fake.set_script(Script {
        pause: ms(300),
        ..Script::default()
    });
    let started = Instant::now();
    assert_eq!(
        store
            .claim(store_key("slow"), mark(0, None), RETENTION, ms(20))
            .await,
        ClaimOutcome::Unknown
    );
    assert!(started.elapsed() < ms(250));
    fake.set_script(Script::default());
    fake.go_down();
    let started = Instant::now();
    // Without a connection callers do not wait: once the client sees that it was closed, claims return NotSent at once.
    while claim(&store, "gone").await != ClaimOutcome::NotSent {
        assert!(started.elapsed() < WAIT);
    }
    fake.come_up();
    wait_connected(&store).await;
    assert!(fake.connections_opened() >= 2);
}

#[tokio::test]
async fn ten_thousand_claims_time_out_when_the_store_stops_answering() {
    let fake = FakeStore::start().unwrap();
    let store = StoreClient::spawn(config(&fake, 1));
    wait_connected(&store).await;
    fake.set_script(Script {
        pause: ms(60_000),
        ..Script::default()
    });
    let claims = (0..10_000).map(|index| {
        let store = store.clone();
        tokio::spawn(async move {
            store
                .claim(
                    store_key(&format!("w-{index}")),
                    mark(0, None),
                    RETENTION,
                    ms(50),
                )
                .await
        })
    });
    for task in claims.collect::<Vec<_>>() {
        let outcome = task.await.unwrap();
        assert!(
            matches!(outcome, ClaimOutcome::Unknown | ClaimOutcome::NotSent),
            "{outcome:?}"
        );
    }
}

#[tokio::test]
async fn resp2_is_used_if_resp3_is_refused_and_a_wrong_password_prevents_claims() {
    let fake = FakeStore::start().unwrap();
    fake.set_script(Script {
        only_resp2: true,
        password: Some("pw".to_owned()),
        ..Script::default()
    });
    let store = StoreClient::spawn(StoreConfig {
        password: "pw".to_owned(),
        database: 3,
        ..config(&fake, 1)
    });
    wait_connected(&store).await;
    let commands = fake.commands();
    assert!(commands
        .iter()
        .any(|command| command[0] == "SELECT" && command[1] == "3"));
    let store = StoreClient::spawn(StoreConfig {
        password: "no".to_owned(),
        ..config(&fake, 2)
    });
    tokio::time::sleep(ms(200)).await;
    assert_eq!(claim(&store, "k").await, ClaimOutcome::NotSent);
}

#[tokio::test]
async fn the_client_follows_a_new_address_and_claims_in_flight_are_unknown() {
    let [old, new] = [(); 2].map(|()| FakeStore::start().unwrap());
    let store = StoreClient::spawn(config(&old, 1));
    wait_connected(&store).await;
    old.set_script(Script {
        pause: ms(60_000),
        ..Script::default()
    });
    let in_flight = tokio::spawn({
        let store = store.clone();
        async move { claim(&store, "open").await }
    });
    while old
        .commands()
        .iter()
        .all(|command| !command.iter().any(|arg| arg.ends_with(":open")))
    {
        tokio::time::sleep(ms(5)).await;
    }
    assert!(store.try_send(StoreRequest::AddressChanged(new.address())));
    assert_eq!(in_flight.await.unwrap(), ClaimOutcome::Unknown);
    wait_connected(&store).await;
    assert!(new.connections_opened() == 1);
}
