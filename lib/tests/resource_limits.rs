//! Limits on what clients use follow from the memory and the descriptors of the process.

use walnuthaven_lib::resource_limits;

const MB: usize = 1_000_000;

#[test]
fn connections_fit_into_the_descriptors() {
    for files in [400, 1_100, 4_100, 10_250, 100_000] {
        for memory in [16 * MB, 64 * MB, 110 * MB, 4_000 * MB] {
            let limits = resource_limits::ResourceLimits::new(memory, files);
            let connections =
                limits.client_connections + limits.peer_connections + limits.server_connections;
            assert!(connections + 100 <= files, "{files}: {limits:?}");
        }
    }
}

#[test]
fn messages_and_sockets_fit_into_the_memory() {
    for memory in [32 * MB, 64 * MB, 110 * MB, 512 * MB] {
        let limits = resource_limits::ResourceLimits::new(memory, 4_100);
        let sockets = limits.client_connections * limits.client_socket_buffer
            + limits.server_connections * limits.server_socket_buffer;
        let messages = limits.message_bytes + limits.peer_message_bytes;
        assert!(sockets + messages <= memory / 2, "{memory}: {limits:?}");
    }
}

#[test]
fn small_hosts_of_the_deployments_take_their_callers() {
    // All callers of a deployment may come to one host.
    let limits = resource_limits::ResourceLimits::new(88 * MB, 4_100);
    assert!(limits.client_connections >= 590, "{limits:?}");
    assert!(limits.server_connections >= 270, "{limits:?}");
    assert!(limits.message_bytes >= 11 * MB, "{limits:?}");
}

#[test]
fn few_descriptors_leave_some_connections() {
    let limits = resource_limits::ResourceLimits::new(MB / 10, 64);
    assert!(limits.client_connections >= 16, "{limits:?}");
    assert!(limits.server_connections >= 16, "{limits:?}");
}
