//! The ports that the test harness chooses for hosts.

use std::net;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;

use walnuthaven_platform_standin::hosts;

const SPAWNING_THREADS: usize = 4;
const PORTS: usize = 3_000;

// A process that starts while a port is checked inherits the socket, so that a host can't bind the port.
#[test]
fn chosen_port_is_free_while_other_tests_start_processes() {
    let stopping = sync::Arc::new(atomic::AtomicBool::new(false));
    let threads: Vec<_> = (0..SPAWNING_THREADS)
        .map(|_| {
            let stopping = stopping.clone();
            thread::spawn(move || {
                while !stopping.load(atomic::Ordering::Relaxed) {
                    let mut command = process::Command::new("true");
                    hosts::spawn_process(&mut command).unwrap().wait().unwrap();
                }
            })
        })
        .collect();
    let taken = (0..PORTS)
        .map(|_| hosts::free_addr())
        .filter(|addr| net::TcpListener::bind(addr).is_err())
        .count();
    stopping.store(true, atomic::Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }
    assert_eq!(taken, 0, "of {PORTS} ports");
}
