//! Abstraction over this machine's sockets and clocks and those of a simulation. The programs run the same code on
//! either; the simulator (`beechcroft-simulator`) is never linked into them.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Mutex;

/// How often a connection with unread bytes is checked for having been closed by the peer.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How many times binding an address is attempted: sockets of a previous process may linger.
const BIND_ATTEMPTS: u32 = 102;
/// The pause between two of these attempts.
const BIND_RETRY: Duration = Duration::from_millis(50);
/// The most connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// One end of a connection in a simulation.
pub trait SimulatedStream: Send + Sync {
    /// Reads available bytes. Fails with `WouldBlock` if there are none, and returns 0 once the peer has closed the
    /// connection.
    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize>;
    /// Ready once [`SimulatedStream::try_read`] would not block.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<()>;
    /// Ready once the peer has closed the connection, even if bytes are still unread.
    fn poll_closed_by_peer(&self, cx: &mut Context<'_>) -> Poll<()>;
    /// Writes some of the bytes. Fails with `WouldBlock` if none can be written.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Ready once [`SimulatedStream::try_write`] would not block.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<()>;
    /// Closes the write direction.
    fn shutdown_write(&self);
}

/// A result that the simulation delivers later.
type Pending<T> = Pin<Box<dyn Future<Output = io::Result<T>>>>;

/// An accepted connection and its peer's address.
pub type Accepted = (Arc<dyn SimulatedStream>, SocketAddrV4);

/// A datagram and its sender's address.
pub type Datagram = (SocketAddrV4, Vec<u8>);

/// The interface of a simulation to one of its processes.
pub trait Simulation {
    /// Connects to an address.
    fn connect(&self, to: SocketAddrV4) -> Pending<Arc<dyn SimulatedStream>>;
    /// Listens on an address and returns the queue of accepted connections.
    fn listen(&self, address: SocketAddrV4) -> io::Result<UnboundedReceiver<Accepted>>;
    /// Binds an address for datagrams and returns the queue of received ones.
    fn bind_datagrams(&self, address: SocketAddrV4) -> io::Result<UnboundedReceiver<Datagram>>;
    /// Sends a datagram; it may be lost.
    fn send(&self, from: SocketAddrV4, to: SocketAddrV4, bytes: Vec<u8>);
    /// The wall-clock time since the Unix epoch.
    fn time_of_day(&self) -> Duration;
}

/// The runtime of a process: this machine, or a simulation. Clones share it.
#[derive(Clone, Default)]
pub struct Runtime(Option<Rc<dyn Simulation>>);

impl std::fmt::Debug for Runtime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() {
            "a simulation"
        } else {
            "this machine"
        })
    }
}

impl Runtime {
    /// A runtime on the sockets and clocks of this machine.
    pub fn real() -> Runtime {
        Runtime(None)
    }

    /// A runtime on the sockets and clocks of a simulation.
    pub fn simulated(simulation: Rc<dyn Simulation>) -> Runtime {
        Runtime(Some(simulation))
    }

    /// Connects to an address.
    pub async fn connect(&self, to: SocketAddrV4) -> io::Result<Stream> {
        match &self.0 {
            None => TcpStream::connect(to).await.map(Stream::Socket),
            Some(simulation) => simulation.connect(to).await.map(Stream::Simulated),
        }
    }

    /// Listens on an address. Binding is retried for a few seconds.
    pub async fn listen(&self, address: SocketAddrV4) -> io::Result<Listener> {
        if let Some(simulation) = &self.0 {
            return simulation.listen(address).map(Listener::Simulated);
        }
        let mut attempts = 1;
        loop {
            let socket = tokio::net::TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            let bound = socket.bind(address.into());
            match bound.and_then(|()| socket.listen(ACCEPT_BACKLOG)) {
                Ok(listener) => return Ok(Listener::Socket(listener)),
                Err(e) if attempts >= BIND_ATTEMPTS => return Err(e),
                Err(_) => attempts += 1,
            }
            tokio::time::sleep(BIND_RETRY).await;
        }
    }

    /// Binds an address for datagrams. Binding is retried for a few seconds.
    pub(crate) async fn bind_datagrams(&self, address: SocketAddrV4) -> io::Result<DatagramSocket> {
        if let Some(simulation) = &self.0 {
            let received = Mutex::new(simulation.bind_datagrams(address)?);
            let simulation = simulation.clone();
            return Ok(DatagramSocket::Simulated {
                simulation,
                address,
                received,
            });
        }
        let mut attempts = 1;
        loop {
            match UdpSocket::bind(address).await {
                Ok(socket) => return Ok(DatagramSocket::Socket(socket)),
                Err(e) if attempts >= BIND_ATTEMPTS => return Err(e),
                Err(_) => attempts += 1,
            }
            tokio::time::sleep(BIND_RETRY).await;
        }
    }

    /// The wall-clock time since the Unix epoch.
    pub fn time_of_day(&self) -> Duration {
        match &self.0 {
            None => {
                let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                since.unwrap_or(Duration::ZERO)
            }
            Some(simulation) => simulation.time_of_day(),
        }
    }
}

/// A listener for connections.
pub enum Listener {
    /// On this machine.
    Socket(TcpListener),
    /// In a simulation.
    Simulated(UnboundedReceiver<Accepted>),
}

impl Listener {
    /// Accepts the next connection and returns it with its peer's address.
    pub async fn accept(&mut self) -> io::Result<(Stream, SocketAddr)> {
        match self {
            Listener::Socket(listener) => listener
                .accept()
                .await
                .map(|(stream, peer)| (Stream::Socket(stream), peer)),
            Listener::Simulated(accepted) => match accepted.recv().await {
                Some((stream, peer)) => Ok((Stream::Simulated(stream), peer.into())),
                None => std::future::pending().await,
            },
        }
    }
}

/// A socket for datagrams.
pub(crate) enum DatagramSocket {
    Socket(UdpSocket),
    Simulated {
        simulation: Rc<dyn Simulation>,
        address: SocketAddrV4,
        received: Mutex<UnboundedReceiver<Datagram>>,
    },
}

impl DatagramSocket {
    pub(crate) fn send(&self, to: SocketAddrV4, bytes: Vec<u8>) {
        match self {
            DatagramSocket::Socket(socket) => {
                drop(socket.try_send_to(&bytes, SocketAddr::V4(to)));
            }
            DatagramSocket::Simulated {
                simulation,
                address,
                ..
            } => {
                simulation.send(*address, to, bytes);
            }
        }
    }

    /// Receives the next datagram into `buf` and returns its sender's address and its length. A datagram longer than
    /// the buffer is truncated.
    pub(crate) async fn receive(&self, buf: &mut [u8]) -> Option<(SocketAddrV4, usize)> {
        match self {
            DatagramSocket::Socket(socket) => match socket.recv_from(buf).await {
                Ok((length, SocketAddr::V4(from))) => Some((from, length)),
                _ => None,
            },
            DatagramSocket::Simulated { received, .. } => {
                match received.lock().await.recv().await {
                    Some((from, bytes)) => {
                        let length = bytes.len().min(buf.len());
                        buf[..length].copy_from_slice(&bytes[..length]);
                        Some((from, length))
                    }
                    None => std::future::pending().await,
                }
            }
        }
    }
}

/// A connection.
pub enum Stream {
    /// On this machine.
    Socket(TcpStream),
    /// In a simulation.
    Simulated(Arc<dyn SimulatedStream>),
}

impl std::fmt::Debug for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Stream::Socket(_) => "a socket",
            Stream::Simulated(_) => "a simulated stream",
        })
    }
}

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Stream {
        Stream::Socket(stream)
    }
}

impl Stream {
    /// Disables Nagle's algorithm, so that small writes are sent at once.
    pub fn set_nodelay(&self) {
        if let Stream::Socket(stream) = self {
            let _ = stream.set_nodelay(true);
        }
    }

    /// Reads available bytes. Fails with `WouldBlock` if there are none, and returns 0 once the peer has closed the
    /// connection.
    pub fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Socket(stream) => stream.try_read(buf),
            Stream::Simulated(stream) => stream.try_read(buf),
        }
    }

    /// Writes some of the bytes. Fails with `WouldBlock` if none can be written.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Stream::Socket(stream) => stream.try_write(bytes),
            Stream::Simulated(stream) => stream.try_write(bytes),
        }
    }

    /// Ready once [`Stream::try_read`] would not block.
    pub fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self {
            Stream::Socket(stream) => stream.poll_read_ready(cx),
            Stream::Simulated(stream) => stream.poll_read_ready(cx).map(Ok),
        }
    }

    /// Ready once [`Stream::try_write`] would not block.
    pub fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self {
            Stream::Socket(stream) => stream.poll_write_ready(cx),
            Stream::Simulated(stream) => stream.poll_write_ready(cx).map(Ok),
        }
    }

    /// Completes once [`Stream::try_write`] would not block.
    pub async fn writable(&self) -> io::Result<()> {
        match self {
            Stream::Socket(stream) => stream.writable().await,
            Stream::Simulated(stream) => {
                std::future::poll_fn(|cx| stream.poll_write_ready(cx)).await;
                Ok(())
            }
        }
    }

    /// Reads into the spare capacity of `buf`. Returns 0 once the peer has closed the connection.
    pub async fn read_buf(&mut self, buf: &mut Vec<u8>) -> io::Result<usize> {
        match self {
            Stream::Socket(stream) => tokio::io::AsyncReadExt::read_buf(stream, buf).await,
            // `buf` must not be extended across an await point: the caller may drop the future there.
            Stream::Simulated(stream) => loop {
                std::future::poll_fn(|cx| stream.poll_read_ready(cx)).await;
                let start = buf.len();
                buf.resize(buf.capacity().max(start + 1), 0);
                let read = stream.try_read(&mut buf[start..]);
                buf.truncate(start + read.as_ref().copied().unwrap_or(0));
                match read {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    done => return done,
                }
            },
        }
    }

    /// Writes all bytes.
    pub async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        match self {
            Stream::Socket(stream) => tokio::io::AsyncWriteExt::write_all(stream, bytes).await,
            Stream::Simulated(stream) => {
                while !bytes.is_empty() {
                    let write = |cx: &mut Context<'_>| poll_write(stream, cx, bytes);
                    let written = std::future::poll_fn(write).await?;
                    bytes = &bytes[written..];
                }
                Ok(())
            }
        }
    }

    /// Completes once the peer has closed the connection or the connection has broken. Nothing else may read from the
    /// stream in the meantime.
    pub async fn closed_by_peer(&self) {
        match self {
            Stream::Socket(stream) => loop {
                match stream.peek(&mut [0; 1]).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
                // While bytes are unread, only the socket's readiness shows whether the peer has closed its side.
                match stream.ready(Interest::READABLE).await {
                    Ok(ready) if !ready.is_read_closed() => {
                        tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
                    }
                    _ => return,
                }
            },
            Stream::Simulated(stream) => {
                std::future::poll_fn(|cx| stream.poll_closed_by_peer(cx)).await;
            }
        }
    }

    /// Closes the write direction.
    pub fn shutdown_write(&self) -> io::Result<()> {
        match self {
            Stream::Socket(stream) => {
                let fd = std::os::fd::AsFd::as_fd(stream).try_clone_to_owned()?;
                let _ = std::net::TcpStream::from(fd).shutdown(std::net::Shutdown::Write);
            }
            Stream::Simulated(stream) => stream.shutdown_write(),
        }
        Ok(())
    }
}

/// Waits until the stream is writable, then writes some of the bytes.
fn poll_write(
    stream: &Arc<dyn SimulatedStream>,
    cx: &mut Context<'_>,
    bytes: &[u8],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx));
        match stream.try_write(bytes) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}
