//! Opens TCP sockets whose buffers in the kernel have a fixed size.

use std::io;
use std::net;

/// Sizes in bytes of the kernel's buffers of a connection. A connection that is accepted has those of its listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Buffers {
    /// For what was received and not read.
    pub(crate) receive: usize,
    /// For what wasn't sent yet; `None` if the kernel chooses the size.
    pub(crate) send: Option<usize>,
}

impl Buffers {
    /// Returns buffers of one size in both directions.
    pub(crate) fn both(bytes: usize) -> Self {
        Self {
            receive: bytes,
            send: Some(bytes),
        }
    }
}

/// Creates a socket for an address of this kind.
///
/// # Errors
///
/// Returns an error if the process can't open one.
pub(crate) fn open(addr: net::SocketAddr) -> io::Result<tokio::net::TcpSocket> {
    match addr {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4(),
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6(),
    }
}

/// Sets the size of the buffer for what is received.
///
/// # Errors
///
/// Returns an error if the system refuses.
pub(crate) fn set_receive_buffer(socket: &tokio::net::TcpSocket, bytes: usize) -> io::Result<()> {
    socket.set_recv_buffer_size(u32::try_from(bytes).unwrap_or(u32::MAX))
}

/// Listens on an address. The kernel queues up to `backlog` connections until they are accepted.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) fn listen(
    addr: net::SocketAddr,
    buffers: Buffers,
    backlog: u32,
) -> io::Result<tokio::net::TcpListener> {
    let socket = open(addr)?;
    socket.set_reuseaddr(true)?;
    set_receive_buffer(&socket, buffers.receive)?;
    if let Some(bytes) = buffers.send {
        socket.set_send_buffer_size(u32::try_from(bytes).unwrap_or(u32::MAX))?;
    }
    socket.bind(addr)?;
    socket.listen(backlog)
}
