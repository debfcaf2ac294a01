//! What a program stands on: the machine's own sockets and clocks, or a world's that plays them. The programs are
//! the same on either; the world (`beechcroft-simulator`) is never linked into them.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::UnboundedReceiver;

const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// One end of a connection in a world.
pub trait Pipe: Send + Sync {
    /// Bytes that have come; `WouldBlock` if none have, 0 once the other side has closed.
    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize>;
    /// Ready once [`Pipe::try_read`] would not block.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<()>;
    /// Ready once the other side has closed, though bytes may still be unread.
    fn poll_ended(&self, cx: &mut Context<'_>) -> Poll<()>;
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<()>;
    fn shut(&self);
}

type Coming<T> = Pin<Box<dyn Future<Output = io::Result<T>>>>;

/// A connection that has come, and from where.
pub type Accepted = (Arc<dyn Pipe>, SocketAddrV4);

/// A world, as one process in it sees it.
pub trait World {
    fn connect(&self, to: SocketAddrV4) -> Coming<Arc<dyn Pipe>>;
    fn listen(&self, at: SocketAddrV4) -> io::Result<UnboundedReceiver<Accepted>>;
    /// Datagrams that come to an address of this process.
    fn mail(&self, at: SocketAddrV4) -> io::Result<UnboundedReceiver<(SocketAddrV4, Vec<u8>)>>;
    fn send(&self, from: SocketAddrV4, to: SocketAddrV4, bytes: Vec<u8>);
    /// The time of day, since 1970.
    fn wall(&self) -> Duration;
}

#[derive(Clone, Default)]
pub struct Ground(Option<std::rc::Rc<dyn World>>);

impl std::fmt::Debug for Ground {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() {
            "a world"
        } else {
            "this machine"
        })
    }
}

impl Ground {
    /// The machine that the process runs on.
    pub fn machine() -> Ground {
        Ground(None)
    }

    pub fn world(world: std::rc::Rc<dyn World>) -> Ground {
        Ground(Some(world))
    }

    pub async fn connect(&self, to: SocketAddrV4) -> io::Result<Stream> {
        match &self.0 {
            None => TcpStream::connect(to).await.map(Stream::Socket),
            Some(world) => world.connect(to).await.map(Stream::Pipe),
        }
    }

    /// Binds, and tries again for a while: a former life's sockets may linger.
    pub async fn listen(&self, at: SocketAddrV4) -> io::Result<Listener> {
        if let Some(world) = &self.0 {
            return world.listen(at).map(Listener::World);
        }
        let mut tries = 0;
        loop {
            let socket = tokio::net::TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            match socket.bind(at.into()).and_then(|()| socket.listen(1024)) {
                Ok(listener) => return Ok(Listener::Socket(listener)),
                Err(e) if tries > 100 => return Err(e),
                Err(_) => tries += 1,
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Opens an address for datagrams; tries again for a while.
    pub(crate) async fn datagrams(&self, at: SocketAddrV4) -> io::Result<Datagrams> {
        if let Some(world) = &self.0 {
            let mail = world.mail(at)?;
            return Ok(Datagrams::World(
                world.clone(),
                at,
                tokio::sync::Mutex::new(mail),
            ));
        }
        let mut tries = 0;
        loop {
            match UdpSocket::bind(at).await {
                Ok(socket) => return Ok(Datagrams::Socket(socket)),
                Err(e) if tries > 100 => return Err(e),
                Err(_) => tries += 1,
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// The time of day, since 1970.
    pub fn wall(&self) -> Duration {
        match &self.0 {
            None => std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or(Duration::ZERO),
            Some(world) => world.wall(),
        }
    }
}

pub enum Listener {
    Socket(TcpListener),
    World(UnboundedReceiver<Accepted>),
}

impl Listener {
    pub async fn accept(&mut self) -> io::Result<(Stream, SocketAddr)> {
        match self {
            Listener::Socket(listener) => listener
                .accept()
                .await
                .map(|(stream, from)| (Stream::Socket(stream), from)),
            Listener::World(coming) => match coming.recv().await {
                Some((pipe, from)) => Ok((Stream::Pipe(pipe), from.into())),
                None => std::future::pending().await,
            },
        }
    }
}

pub(crate) enum Datagrams {
    Socket(UdpSocket),
    World(
        std::rc::Rc<dyn World>,
        SocketAddrV4,
        tokio::sync::Mutex<UnboundedReceiver<(SocketAddrV4, Vec<u8>)>>,
    ),
}

impl Datagrams {
    pub fn send(&self, to: SocketAddrV4, bytes: Vec<u8>) {
        match self {
            Datagrams::Socket(socket) => drop(socket.try_send_to(&bytes, SocketAddr::V4(to))),
            Datagrams::World(world, at, _) => world.send(*at, to, bytes),
        }
    }

    /// The next one, of which no more than the buffer holds is read.
    pub async fn next(&self, buf: &mut [u8]) -> Option<(SocketAddrV4, usize)> {
        match self {
            Datagrams::Socket(socket) => match socket.recv_from(buf).await {
                Ok((length, SocketAddr::V4(from))) => Some((from, length)),
                _ => None,
            },
            Datagrams::World(_, _, mail) => match mail.lock().await.recv().await {
                Some((from, bytes)) => {
                    let length = bytes.len().min(buf.len());
                    buf[..length].copy_from_slice(&bytes[..length]);
                    Some((from, length))
                }
                None => std::future::pending().await,
            },
        }
    }
}

/// A connection.
pub enum Stream {
    Socket(TcpStream),
    Pipe(Arc<dyn Pipe>),
}

impl std::fmt::Debug for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if matches!(self, Stream::Socket(_)) {
            "a socket"
        } else {
            "a pipe"
        })
    }
}

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Stream {
        Stream::Socket(stream)
    }
}

impl Stream {
    /// Small writes go out at once.
    pub fn prompt(&self) {
        if let Stream::Socket(stream) = self {
            let _ = stream.set_nodelay(true);
        }
    }

    pub fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Socket(stream) => stream.try_read(buf),
            Stream::Pipe(pipe) => pipe.try_read(buf),
        }
    }

    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Stream::Socket(stream) => stream.try_write(bytes),
            Stream::Pipe(pipe) => pipe.try_write(bytes),
        }
    }

    pub fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self {
            Stream::Socket(stream) => stream.poll_read_ready(cx),
            Stream::Pipe(pipe) => pipe.poll_read_ready(cx).map(Ok),
        }
    }

    pub fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self {
            Stream::Socket(stream) => stream.poll_write_ready(cx),
            Stream::Pipe(pipe) => pipe.poll_write_ready(cx).map(Ok),
        }
    }

    pub async fn writable(&self) -> io::Result<()> {
        match self {
            Stream::Socket(stream) => stream.writable().await,
            Stream::Pipe(pipe) => {
                std::future::poll_fn(|cx| pipe.poll_write_ready(cx)).await;
                Ok(())
            }
        }
    }

    /// Reads into the room that is left in `buf`; 0 once the other side has closed.
    pub async fn read_buf(&mut self, buf: &mut Vec<u8>) -> io::Result<usize> {
        match self {
            Stream::Socket(stream) => tokio::io::AsyncReadExt::read_buf(stream, buf).await,
            // Nothing is in the buffer across a wait: whoever reads may give up there.
            Stream::Pipe(pipe) => loop {
                std::future::poll_fn(|cx| pipe.poll_read_ready(cx)).await;
                let from = buf.len();
                buf.resize(buf.capacity().max(from + 1), 0);
                let read = pipe.try_read(&mut buf[from..]);
                buf.truncate(from + read.as_ref().copied().unwrap_or(0));
                match read {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    done => return done,
                }
            },
        }
    }

    pub async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        match self {
            Stream::Socket(stream) => tokio::io::AsyncWriteExt::write_all(stream, bytes).await,
            Stream::Pipe(pipe) => {
                while !bytes.is_empty() {
                    let write = |cx: &mut Context<'_>| {
                        poll(cx, |cx| pipe.poll_write_ready(cx), || pipe.try_write(bytes))
                    };
                    let sent = std::future::poll_fn(write).await?;
                    bytes = &bytes[sent..];
                }
                Ok(())
            }
        }
    }

    /// Ends once the other side has closed or broken the connection. Nobody reads meanwhile.
    pub async fn ended(&self) {
        match self {
            Stream::Socket(stream) => loop {
                match stream.peek(&mut [0; 1]).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
                // More has come: whether an end lies behind it shows by the state of the socket alone.
                match stream.ready(Interest::READABLE).await {
                    Ok(ready) if !ready.is_read_closed() => tokio::time::sleep(LOOK_AGAIN).await,
                    _ => return,
                }
            },
            Stream::Pipe(pipe) => std::future::poll_fn(|cx| pipe.poll_ended(cx)).await,
        }
    }

    /// Nothing more will be written.
    pub fn shut(&self) -> io::Result<()> {
        match self {
            Stream::Socket(stream) => {
                let fd = std::os::fd::AsFd::as_fd(stream).try_clone_to_owned()?;
                let _ = std::net::TcpStream::from(fd).shutdown(std::net::Shutdown::Write);
            }
            Stream::Pipe(pipe) => pipe.shut(),
        }
        Ok(())
    }
}

/// Tries until it does not block.
fn poll<T>(
    cx: &mut Context<'_>,
    mut is_ready: impl FnMut(&mut Context<'_>) -> Poll<()>,
    mut tries: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        ready!(is_ready(cx));
        match tries() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}
