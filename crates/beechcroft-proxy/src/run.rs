//! Assembly of a proxy from servers, state owner and client connections, and its shutdown.

use crate::client;
use crate::drain::shut_down;
use crate::shared::{Phase, Shared};
use crate::state_owner::{Command, CommandQueue, StateOwner};
use beechcroft_config::{ServiceDefaults, Settings};
use beechcroft_consensus::{RegisterId, Value};
use beechcroft_error::ErrorKind;
use beechcroft_gossip::{Member, MemberState};
use beechcroft_transport::calls::ApiCall;
use beechcroft_transport::datagram::MessageSocket;
use beechcroft_transport::lifecycle::{spawn_inputs, Environment, OwnerInputs};
use beechcroft_transport::rpc::{paths, RpcClient};
use beechcroft_transport::runtime::Listener;
use beechcroft_transport::server::{self, Request, Response, ServerLimits};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Interval between ticks of the state owner.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A starting proxy accepts client connections once it is ready, or after this time if it is not.
const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(600);
/// Interval at which a starting proxy checks whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Runs a proxy until it is told to shut down and has drained its requests.
///
/// # Errors
///
/// A socket could not be bound.
pub async fn run(
    settings: Settings,
    defaults: ServiceDefaults,
    environment: Environment,
) -> Result<(), String> {
    let Environment {
        runtime,
        shutdown,
        seeds,
    } = environment;
    let incarnation = runtime.time_of_day().as_millis() as u64;
    let machine_bits = u64::from(u32::from(settings.ip)) << 20;
    let salt = incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ machine_bits;
    let local = local_member(&settings, incarnation);
    let internal = SocketAddrV4::new(settings.ip, settings.internal_ports[0] + 1);
    let socket = MessageSocket::bind(&runtime, internal)
        .await
        .map_err(|e| e.to_string())?;
    let shared = Rc::new(Shared::new(
        settings.clone(),
        defaults,
        salt,
        runtime.clone(),
    ));
    let (queue, mut commands) = mpsc::unbounded_channel();
    let rpc = RpcClient::new(runtime.clone());
    let mut owner = StateOwner::new(
        shared.clone(),
        local,
        salt,
        socket.clone(),
        rpc,
        queue.clone(),
    );

    spawn_servers(&shared, &queue, internal);
    if let Some(address) = settings.listen.ingress {
        let listener = runtime.listen(address).await.map_err(|e| e.to_string())?;
        spawn_local(accept_clients(shared.clone(), queue.clone(), listener));
    }
    let inputs = OwnerInputs {
        queue: queue.clone(),
        tick_interval: TICK_INTERVAL,
        on_message: Command::Message,
        on_tick: || Command::Tick,
        on_seeds: Command::Seeds,
    };
    spawn_inputs(socket, seeds, inputs);
    let mut shut_down = std::pin::pin!(shut_down(shared.clone(), queue, shutdown));
    loop {
        tokio::select! {
            biased;
            Some(command) = commands.recv() => owner.step(command),
            () = &mut shut_down => return Ok(()),
        }
    }
}

fn local_member(settings: &Settings, incarnation: u64) -> Member {
    Member {
        name: settings.node_name.clone(),
        ip: settings.ip,
        is_control: false,
        is_quorum_member: false,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        ingress: settings.listen.ingress,
        control: None,
        incarnation,
        version: 0,
        state: MemberState::Starting,
    }
}

/// Starts the servers for readiness checks and for calls from other nodes.
fn spawn_servers(shared: &Rc<Shared>, queue: &CommandQueue, internal: SocketAddrV4) {
    let (runtime, limits) = (shared.runtime.clone(), ServerLimits::default());
    if let Some(address) = shared.settings.listen.readiness {
        let shared = shared.clone();
        let handler = move |request| handle_readiness(shared.clone(), request);
        spawn_local(server::serve(runtime.clone(), address, limits, handler));
    }
    let queue = queue.clone();
    let handler = move |request| handle_internal(queue.clone(), request);
    spawn_local(server::serve(runtime, internal, limits, handler));
}

/// Accepts client connections until the process exits.
async fn accept_clients(shared: Rc<Shared>, queue: CommandQueue, mut listener: Listener) {
    // For a short time, a proxy that cannot serve yet lets new connections wait instead of rejecting their requests.
    let deadline = Instant::now() + MAX_ACCEPT_DELAY;
    while shared.phase.get() == Phase::Starting && Instant::now() < deadline {
        sleep(READY_POLL_INTERVAL).await;
    }
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                drop(spawn_local(client::serve(
                    shared.clone(),
                    queue.clone(),
                    stream,
                )));
            }
            Err(e) => {
                log::warn!("client: Cannot accept a connection: {e}.");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn handle_readiness(shared: Rc<Shared>, request: Request) -> Response {
    if ApiCall::parse(&request.method, &request.path) != Some(ApiCall::Ready) {
        return ErrorKind::UnknownCall.into();
    }
    match shared.phase.get() {
        Phase::Ready => Response::json("{}"),
        Phase::Starting => ErrorKind::NotReady.into(),
        Phase::Draining | Phase::Closing => ErrorKind::ShuttingDown.into(),
    }
}

/// Handles calls from other nodes, which fetch the latest known values of registers.
async fn handle_internal(queue: CommandQueue, request: Request) -> Response {
    if request.path != paths::REGISTER {
        return ErrorKind::UnknownCall.into();
    }
    let register = RegisterId::from_body(&request.body);
    let (reply, receiver) = oneshot::channel::<Value>();
    let _ = queue.send(Command::ReadRegister { register, reply });
    match receiver
        .await
        .ok()
        .and_then(|value| postcard::to_stdvec(&value).ok())
    {
        Some(bytes) => Response::bytes(bytes),
        None => ErrorKind::NotReady.into(),
    }
}
