//! What a host may use for its clients, derived from the memory and the file descriptors of its process.

/// File descriptors kept for files, listening sockets, calls to the store and checks of servers.
const RESERVED_FILES: usize = 200;
/// A quarter of the descriptors is the least that connections get if there are few.
const MIN_FILES_DIVISOR: usize = 4;
/// Half of these descriptors is for clients, and this part for other hosts. The rest is for servers.
const CLIENT_FILES_DIVISOR: usize = 2;
const PEER_FILES_DIVISOR: usize = 16;
/// Memory of a process without clients; at most half of what it may use counts as such.
const BASE_BYTES: usize = 16 * 1024 * 1024;
/// Memory of a client's connection besides its messages: buffers of the HTTP library and of the kernel.
const CLIENT_BYTES: usize = 36 * 1024;
/// Memory of a connection to a server: the same, with more in the kernel.
const SERVER_BYTES: usize = 64 * 1024;
/// Memory of a connection of another host, whose calls share a window.
const PEER_BYTES: usize = 128 * 1024;
/// Parts of the memory.
const CLIENT_MEMORY_DIVISOR: usize = 3;
const SERVER_MEMORY_DIVISOR: usize = 4;
const PEER_MEMORY_DIVISOR: usize = 16;
const MESSAGE_MEMORY_DIVISOR: usize = 6;
const SOCKET_MEMORY_DIVISOR: usize = 16;
/// Part of the memory for messages that is for calls of other hosts.
const PEER_MESSAGES_DIVISOR: usize = 4;
/// Fewest connections of each kind.
const MIN_CONNECTIONS: usize = 16;
/// Sizes of a socket's buffer. A message within the usual limits fits into a few of the smallest.
const MIN_SOCKET_BUFFER: usize = 8 * 1024;
const MAX_SOCKET_BUFFER: usize = 64 * 1024;

/// Limits on what all clients together use, and on what is used for them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResourceLimits {
    /// Connections of clients, at all listeners for HTTP together.
    pub client_connections: usize,
    /// Connections of other hosts.
    pub peer_connections: usize,
    /// Connections to servers.
    pub server_connections: usize,
    /// Bytes of messages of clients that are being received, handled or sent.
    pub message_bytes: usize,
    /// Bytes of messages of other hosts that are being received.
    pub peer_message_bytes: usize,
    /// Size in bytes of the kernel's buffers of a client's connection, in each direction.
    pub client_socket_buffer: usize,
    /// Size in bytes of the kernel's buffer for what servers send on a connection.
    pub server_socket_buffer: usize,
}

impl ResourceLimits {
    /// Returns the limits of a process that may use `memory` bytes and `files` descriptors.
    pub fn new(memory: usize, files: usize) -> Self {
        let memory = memory - BASE_BYTES.min(memory / 2);
        let least = files / MIN_FILES_DIVISOR;
        let files = files.saturating_sub(RESERVED_FILES).max(least);
        let client_files = files / CLIENT_FILES_DIVISOR;
        let peer_files = files / PEER_FILES_DIVISOR;
        let server_files = files - client_files - peer_files;
        let connections =
            |files: usize, memory: usize, bytes| files.min(memory / bytes).max(MIN_CONNECTIONS);
        let client_connections =
            connections(client_files, memory / CLIENT_MEMORY_DIVISOR, CLIENT_BYTES);
        let server_connections =
            connections(server_files, memory / SERVER_MEMORY_DIVISOR, SERVER_BYTES);
        let socket_buffer = |connections: usize| {
            let share = memory / SOCKET_MEMORY_DIVISOR / connections;
            share.clamp(MIN_SOCKET_BUFFER, MAX_SOCKET_BUFFER)
        };
        let message_bytes = memory / MESSAGE_MEMORY_DIVISOR;
        Self {
            client_connections,
            peer_connections: connections(peer_files, memory / PEER_MEMORY_DIVISOR, PEER_BYTES),
            server_connections,
            message_bytes,
            peer_message_bytes: message_bytes / PEER_MESSAGES_DIVISOR,
            client_socket_buffer: socket_buffer(client_connections),
            server_socket_buffer: socket_buffer(server_connections),
        }
    }
}
