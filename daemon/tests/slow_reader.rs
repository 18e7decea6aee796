//! A connection whose caller reads no bytes is closed.

use std::io;
use std::time;

use tokio::io::AsyncWriteExt as _;
use walnuthaven_daemon::connections;

/// How long a write may make no progress.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// More bytes than the socket buffers hold, so that the write blocks.
const MORE_THAN_BUFFERS_HOLD: usize = 64 * 1024 * 1024;

#[tokio::test]
async fn blocked_write_times_out() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let reader = tokio::net::TcpStream::connect(addr).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let mut writer = connections::WriteTimeoutStream::new(stream, WRITE_TIMEOUT);
    let written = writer.write_all(&vec![0; MORE_THAN_BUFFERS_HOLD]).await;
    assert_eq!(written.unwrap_err().kind(), io::ErrorKind::TimedOut);
    drop(reader);
}
