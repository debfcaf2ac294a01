//! How the parts of hut are put together: the desks, the owner, its disk; and how it leaves.

use crate::desks;
use crate::disk::Disk;
use crate::keeper::{Command, Keeper, LEAVE_MS};
use beechcroft_config::usual::Usual;
use beechcroft_config::Settings;
use beechcroft_consensus::Voter;
use beechcroft_gossip::{Member, Standing};
use beechcroft_storage::Table;
use beechcroft_transport::desk::{self, Bounds};
use beechcroft_transport::errand::Errands;
use beechcroft_transport::lifecycle::{self, Outside};
use beechcroft_transport::post::Post;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// What is left of the grace as a machine that still waits ends.
const LEAVE_MARGIN: Duration = Duration::from_millis(1500);

/// Runs until it is told to leave. `table`: what the disk held.
pub async fn run(
    settings: Settings,
    usual: Usual,
    outside: Outside,
    disk: Disk,
    table: Table,
) -> Result<(), String> {
    let said = |e: std::io::Error| e.to_string();
    let Outside {
        ground,
        mut term,
        seeds,
    } = outside;
    let incarnation = ground.wall().as_millis() as u64;
    let salt: u64 =
        incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(u32::from(settings.ip)) << 20;
    let me = Member {
        name: settings.node_name.clone(),
        ip: settings.ip,
        core: true,
        quorum: settings.quorum_member,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        ingress: None,
        control: settings.listen.control,
        incarnation,
        mark: 0,
        standing: Standing::Ready,
    };
    let voter = Voter::new(&me.name, settings.fault_tolerance.node_losses, salt, &table);
    let inside = SocketAddrV4::new(settings.ip, settings.internal_ports[0]);
    let post = Post::open(&ground, inside).await.map_err(said)?;
    let (queue, mut commands) = mpsc::unbounded_channel();
    let errands = Errands::new(ground.clone());
    let mut keeper = Keeper::new(
        settings.clone(),
        usual,
        voter,
        me,
        salt,
        &table,
        disk,
        post.clone(),
        errands,
        queue.clone(),
    );
    drop(table);

    let ttl_s = settings.bounds.ttl_max_s.min(5.0);
    let mut desks = Vec::new();
    if let Some(at) = settings.listen.control {
        let repeat_ms = settings.bounds.ack_ms + desks::CLOCKS_APART_MS;
        let control = desks::Control {
            queue: queue.clone(),
            ground: ground.clone(),
            repeat_ms,
        };
        desks.push(spawn_local(desk::serve(
            ground.clone(),
            at,
            Bounds::default(),
            move |call| desks::control(control.clone(), call),
        )));
    }
    if let Some(at) = settings.listen.directory {
        let queue = queue.clone();
        desks.push(spawn_local(desk::serve(
            ground.clone(),
            at,
            Bounds::default(),
            move |call| desks::directory(queue.clone(), ttl_s, call),
        )));
    }
    let inner = queue.clone();
    desks.push(spawn_local(desk::serve(
        ground.clone(),
        inside,
        Bounds::default(),
        move |call| desks::relays(inner.clone(), call),
    )));

    let every = Duration::from_millis(40);
    let tick = || Command::Tick;
    lifecycle::feed(
        post,
        every,
        queue,
        Command::Letter,
        tick,
        seeds,
        Command::Seeds,
    );
    loop {
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(command) => keeper.on(command),
                None => return Ok(()),
            },
            () = &mut term => break,
        }
    }
    // What was taken is still answered, and what only this machine holds goes elsewhere; then the process ends.
    keeper.on(Command::Leave);
    let began = tokio::time::Instant::now();
    let end = began + Duration::from_millis(LEAVE_MS);
    let grace = Duration::from_secs_f64(settings.bounds.grace_s.clamp(0.0, 1e6));
    let last = end.max(began + grace.saturating_sub(LEAVE_MARGIN));
    loop {
        let now = tokio::time::Instant::now();
        if now >= last || now >= end && keeper.may_end() {
            return Ok(());
        }
        let until = if now < end { end } else { last };
        if let Ok(Some(command)) = tokio::time::timeout_at(until, commands.recv()).await {
            keeper.on(command);
        }
    }
}
