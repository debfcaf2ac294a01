//! Assembly of a control node from servers, state owner and disk, and its shutdown.

use crate::api::{ControlApi, MAX_CLOCK_SKEW_MS};
use crate::disk::Disk;
use crate::state_owner::{Command, CommandQueue, StateOwner, StateOwnerParts, SHUTDOWN_ANSWER_MS};
use crate::{directory, internal_api};
use beechcroft_config::{ServiceDefaults, Settings};
use beechcroft_consensus::Acceptor;
use beechcroft_gossip::{Member, MemberState};
use beechcroft_storage::Table;
use beechcroft_transport::datagram::MessageSocket;
use beechcroft_transport::lifecycle::{spawn_inputs, Environment, OwnerInputs};
use beechcroft_transport::rpc::RpcClient;
use beechcroft_transport::server::{serve, ServerLimits};
use beechcroft_transport::Runtime;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Interval between ticks of the state owner.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// A node that has not handed over in time exits this long before the end of the grace period.
const EXIT_MARGIN: Duration = Duration::from_millis(1500);
/// Upper bound of the time for which clients may use a response of the directory, in seconds.
const MAX_TTL_S: f64 = 5.0;

/// Runs a control node until it is told to shut down and has handed over its replica. `table` holds the records that
/// the disk held at the start.
pub async fn run(
    settings: Settings,
    defaults: ServiceDefaults,
    environment: Environment,
    disk: Disk,
    table: Table,
) -> Result<(), String> {
    let Environment {
        runtime,
        mut shutdown,
        seeds,
    } = environment;
    let incarnation = runtime.time_of_day().as_millis() as u64;
    let salt = process_salt(incarnation, &settings);
    let local = local_member(&settings, incarnation);
    let losses = settings.fault_tolerance.node_losses;
    let acceptor = Acceptor::new(&local.name, losses, salt, &table);
    let internal = SocketAddrV4::new(settings.ip, settings.internal_ports[0]);
    let socket = MessageSocket::bind(&runtime, internal)
        .await
        .map_err(|e| e.to_string())?;
    let (queue, mut commands) = mpsc::unbounded_channel();
    let parts = StateOwnerParts {
        settings: settings.clone(),
        defaults,
        acceptor,
        local,
        salt,
        disk,
        socket: socket.clone(),
        rpc: RpcClient::new(runtime.clone()),
        queue: queue.clone(),
    };
    let mut owner = StateOwner::new(parts, &table);
    drop(table);

    spawn_servers(&settings, &runtime, &queue, internal);
    let inputs = OwnerInputs {
        queue,
        tick_interval: TICK_INTERVAL,
        on_message: Command::Message,
        on_tick: || Command::Tick,
        on_seeds: Command::Seeds,
    };
    spawn_inputs(socket, seeds, inputs);
    loop {
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(command) => owner.step(command),
                None => return Ok(()),
            },
            () = &mut shutdown => break,
        }
    }
    shut_down(&settings, owner, commands).await;
    Ok(())
}

/// Seed for the random numbers of this process, which differs between processes and between machines.
fn process_salt(incarnation: u64, settings: &Settings) -> u64 {
    let machine = u64::from(u32::from(settings.ip)) << 20;
    incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ machine
}

fn local_member(settings: &Settings, incarnation: u64) -> Member {
    Member {
        name: settings.node_name.clone(),
        ip: settings.ip,
        is_control: true,
        is_quorum_member: settings.quorum_member,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        ingress: None,
        control: settings.listen.control,
        incarnation,
        version: 0,
        state: MemberState::Ready,
    }
}

/// Starts the servers: the API and the directory if the settings name an address for them, and the internal API.
fn spawn_servers(
    settings: &Settings,
    runtime: &Runtime,
    queue: &CommandQueue,
    internal: SocketAddrV4,
) {
    let limits = ServerLimits::default();
    if let Some(address) = settings.listen.control {
        let api = ControlApi {
            queue: queue.clone(),
            runtime: runtime.clone(),
            repeat_ms: settings.bounds.ack_ms + MAX_CLOCK_SKEW_MS,
        };
        let handler = move |request| api.clone().handle(request);
        spawn_local(serve(runtime.clone(), address, limits, handler));
    }
    if let Some(address) = settings.listen.directory {
        let ttl_s = settings.bounds.ttl_max_s.min(MAX_TTL_S);
        let queue = queue.clone();
        let handler = move |request| directory::handle(queue.clone(), ttl_s, request);
        spawn_local(serve(runtime.clone(), address, limits, handler));
    }
    let queue = queue.clone();
    let handler = move |request| internal_api::handle(queue.clone(), request);
    spawn_local(serve(runtime.clone(), internal, limits, handler));
}

/// Answers the requests that this node has received, and hands over its replica, within the grace period.
async fn shut_down(
    settings: &Settings,
    mut owner: StateOwner,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    owner.step(Command::ShutDown);
    let began = Instant::now();
    let earliest = began + Duration::from_millis(SHUTDOWN_ANSWER_MS);
    let grace = Duration::from_secs_f64(settings.bounds.grace_s.clamp(0.0, 1e6));
    let latest = earliest.max(began + grace.saturating_sub(EXIT_MARGIN));
    loop {
        let now = Instant::now();
        if now >= latest || now >= earliest && owner.may_exit() {
            return;
        }
        let until = if now < earliest { earliest } else { latest };
        if let Ok(Some(command)) = tokio::time::timeout_at(until, commands.recv()).await {
            owner.step(command);
        }
    }
}
