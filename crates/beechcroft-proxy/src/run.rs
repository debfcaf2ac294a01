//! How the parts of trail are put together: the desks, the owner, clients; and how it leaves.

use crate::guide::{self, Command, Guide};
use crate::serve;
use crate::shared::{Phase, Shared};
use beechcroft_config::usual::Usual;
use beechcroft_config::Settings;
use beechcroft_consensus::Value;
use beechcroft_error::ErrorKind;
use beechcroft_gossip::{Member, Standing};
use beechcroft_transport::calls;
use beechcroft_transport::desk::{self, Answer, Bounds};
use beechcroft_transport::errand::Errands;
use beechcroft_transport::lifecycle::{self, Outside};
use beechcroft_transport::post::Post;
use std::future::Future;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// After SIGTERM, clients may hold an old answer of the directory for so long: two seconds and some.
const STAY_MS: u64 = 3500;

/// After its start, a relay takes connections once it is ready, or after so long.
const COMING: Duration = Duration::from_millis(600);

/// Runs until it is told to leave and has left in order.
pub async fn run(settings: Settings, usual: Usual, outside: Outside) -> Result<(), String> {
    let said = |e: std::io::Error| e.to_string();
    let Outside {
        ground,
        term,
        seeds,
    } = outside;
    let incarnation = ground.wall().as_millis() as u64;
    let salt: u64 =
        incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(u32::from(settings.ip)) << 20;
    let me = Member {
        name: settings.node_name.clone(),
        ip: settings.ip,
        core: false,
        quorum: false,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        ingress: settings.listen.ingress,
        control: None,
        incarnation,
        mark: 0,
        standing: Standing::Coming,
    };
    let inside = SocketAddrV4::new(settings.ip, settings.internal_ports[0] + 1);
    let post = Post::open(&ground, inside).await.map_err(said)?;
    let mut shared = Shared::new(settings.clone(), salt, ground.clone());
    shared.usual = usual;
    let shared = Rc::new(shared);
    let (queue, mut commands) = mpsc::unbounded_channel();
    let errands = Errands::new(ground.clone());
    let mut guide = Guide::new(
        shared.clone(),
        me,
        salt,
        post.clone(),
        errands,
        queue.clone(),
    );

    if let Some(at) = settings.listen.readiness {
        let shared = shared.clone();
        spawn_local(desk::serve(
            ground.clone(),
            at,
            Bounds::default(),
            move |call| ready(shared.clone(), call),
        ));
    }
    let inner = queue.clone();
    spawn_local(desk::serve(
        ground.clone(),
        inside,
        Bounds::default(),
        move |call| relays(inner.clone(), call),
    ));
    if let Some(at) = settings.listen.ingress {
        let mut listener = ground.listen(at).await.map_err(said)?;
        let (shared, queue) = (shared.clone(), queue.clone());
        spawn_local(async move {
            // Until it can serve, a relay that has just started reads nothing, for a moment.
            let patience = Instant::now() + COMING;
            while shared.phase.get() == Phase::Coming && Instant::now() < patience {
                sleep(Duration::from_millis(10)).await;
            }
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => drop(spawn_local(serve::client(
                        shared.clone(),
                        queue.clone(),
                        stream,
                    ))),
                    Err(e) => {
                        log::warn!("serve: Accepting failed: {e}.");
                        sleep(Duration::from_millis(20)).await;
                    }
                }
            }
        });
    }
    let every = Duration::from_millis(50);
    let tick = || Command::Tick;
    lifecycle::feed(
        post,
        every,
        queue.clone(),
        Command::Letter,
        tick,
        seeds,
        Command::Seeds,
    );
    let mut left = std::pin::pin!(leave(shared.clone(), queue, term));
    loop {
        tokio::select! {
            biased;
            Some(command) = commands.recv() => guide.on(command),
            () = &mut left => return Ok(()),
        }
    }
}

/// SIGTERM: not ready at once and out of the directory; still served until clients have gone elsewhere; every
/// request that was read gets its answer.
async fn leave(shared: Rc<Shared>, queue: guide::Queue, term: impl Future<Output = ()>) {
    term.await;
    let began = Instant::now();
    shared.phase.set(Phase::Leaving);
    let _ = queue.send(Command::Leave);
    let grace = Duration::from_secs_f64(shared.settings.bounds.grace_s);
    let stay = Duration::from_millis(STAY_MS).min(grace / 2);
    let closing = grace.saturating_sub(Duration::from_millis(1500));
    let end = grace.saturating_sub(Duration::from_millis(400));
    loop {
        sleep(Duration::from_millis(50)).await;
        let passed = began.elapsed();
        if passed >= closing {
            shared.phase.set(Phase::Closing);
        }
        if passed >= end || (passed >= stay && shared.under_way.get() == 0) {
            return;
        }
    }
}

async fn ready(shared: Rc<Shared>, call: desk::Call) -> Answer {
    if calls::find(&call.method, &call.path) != Some(calls::Call::Ready) {
        return ErrorKind::UnknownCall.into();
    }
    match shared.phase.get() {
        Phase::Ready => Answer::json("{}"),
        Phase::Coming => ErrorKind::NotReady.into(),
        Phase::Leaving | Phase::Closing => ErrorKind::ShuttingDown.into(),
    }
}

/// Other relays fetch copies of what is chosen.
async fn relays(queue: guide::Queue, call: desk::Call) -> Answer {
    if call.path != "/copy" {
        return ErrorKind::UnknownCall.into();
    }
    let register = usize::from(call.body.first().copied().unwrap_or(0) & 1);
    let (answer, told) = tokio::sync::oneshot::channel::<Value>();
    let _ = queue.send(Command::Copy(register, answer));
    match told
        .await
        .ok()
        .and_then(|value| postcard::to_stdvec(&value).ok())
    {
        Some(bytes) => Answer::bytes(bytes),
        None => ErrorKind::NotReady.into(),
    }
}
