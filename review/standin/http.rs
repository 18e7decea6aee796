//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, number: usize) -> &str {
        self.line.split(' ').nth(number).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads from a connection; bytes beyond a message are kept for the next one.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes. Returns whether there were any.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16_384];
        let read = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..read]);
        Ok(read > 0)
    }

    /// Reads a first line and headers; `None` if the connection ends before them.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Message {
            line,
            headers: headers.collect(),
            ..Message::default()
        }))
    }

    /// Reads a body. `until_end` states that one without a length ends with the connection.
    pub fn body(&mut self, message: &mut Message, until_end: bool) -> io::Result<()> {
        if let Some(length) = message
            .header("content-length")
            .and_then(|v| v.parse::<usize>().ok())
        {
            while self.buf.len() < length {
                if !self.fill()? {
                    message.body = std::mem::take(&mut self.buf);
                    return Ok(());
                }
            }
            message.body = self.buf.drain(..length).collect();
            message.complete = true;
            return Ok(());
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let end = loop {
                    if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                        break at;
                    }
                    if !self.fill()? {
                        return Ok(());
                    }
                };
                let size = String::from_utf8_lossy(&self.buf[..end]).trim().to_owned();
                let Ok(size) = usize::from_str_radix(&size, 16) else {
                    return Ok(());
                };
                while self.buf.len() < end + 2 + size + 2 {
                    if !self.fill()? {
                        return Ok(());
                    }
                }
                message
                    .body
                    .extend_from_slice(&self.buf[end + 2..end + 2 + size]);
                self.buf.drain(..end + 2 + size + 2);
                if size == 0 {
                    message.complete = true;
                    return Ok(());
                }
            }
        }
        if until_end {
            while self.fill()? {}
            message.body = std::mem::take(&mut self.buf);
        }
        message.complete = true;
        Ok(())
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message, false)?;
        Ok(message.complete.then_some(message))
    }
}

/// Formats a whole answer. `headers` are lines that each end in CRLF.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Sends one request on a new connection, and reads the answer. An answer that breaks off isn't `complete`.
pub fn call(addr: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    exchange(&mut Reader::new(stream), request, timeout)
}

/// As [`call`], on an open connection.
pub fn exchange(reader: &mut Reader, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let deadline = Instant::now() + timeout;
    reader.stream.set_nodelay(true)?;
    reader.stream.set_read_timeout(Some(timeout))?;
    reader.stream.write_all(request)?;
    let Some(mut message) = reader.head()? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    reader.stream.set_read_timeout(Some(left))?;
    if let Err(error) = reader.body(&mut message, true) {
        message.complete = false;
        message
            .headers
            .push(("x-broke".to_owned(), error.kind().to_string()));
    }
    Ok(message)
}
