//! HTTP/1.1 as servers and clients of the platform speak it.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// Head and body of a request or response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line of the head.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line with this index.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or("")
    }

    /// Returns a value of the query, with escapes decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.word(1).split_once('?')?.1;
        let found = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        found.map(|(_, value)| unescape(value))
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|v| v.contains("chunked"))
    }
}

fn unescape(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        let code = hex.and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 2;
            }
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the channel has ended")
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Err(ended()),
        _ => Ok(line.trim_end().to_owned()),
    }
}

/// Reads a head; its body is not read.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        match line.split_once(':') {
            _ if line.is_empty() => return Ok(message),
            Some((name, value)) => {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
            None => {}
        }
    }
}

/// Reads the next chunk of a body; `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let size = line.split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size.trim(), 16).map_err(|_| ended())?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok((size > 0).then_some(chunk))
}

/// Reads the body that belongs to a head.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
        return Ok(());
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

/// Writes a complete response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves requests on a new loopback address until the process ends; returns the address.
///
/// The handler gets each request with its body and writes the response. An error closes the channel.
pub fn serve<H>(handler: H) -> SocketAddr
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                loop {
                    let mut request = read_head(&mut reader)?;
                    read_body(&mut reader, &mut request)?;
                    handler(&request, &mut stream)?;
                }
            });
        }
    });
    address
}

/// A request on a new channel. Returns the head of the response and the reader of its body.
pub fn send(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
) -> io::Result<(Message, BufReader<TcpStream>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut head = format!("{line} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let response = read_head(&mut reader)?;
    Ok((response, reader))
}

/// Like [`send`], and reads the body.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Message> {
    let (mut response, mut reader) = send(address, line, headers, body, patience)?;
    read_body(&mut reader, &mut response)?;
    Ok(response)
}
