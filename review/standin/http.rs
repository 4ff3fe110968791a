//! A small HTTP/1.1 server and client on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request or a response with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        Some(value)
    }

    /// Returns the method and the target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

pub fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Reads one message; `None` at the end of the connection before its first byte.
pub fn read(reader: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first)? == 0 {
        return Ok(None);
    }
    message.first = message.first.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let header = (name.to_owned(), value.trim().to_owned());
        message.headers.push(header);
    }
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|t| t.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn response(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// A listening server; its connections are closed when it stops.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves each request with `serve`, whose bytes are sent as they are; an empty answer closes the
    /// connection.
    pub fn start(serve: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind((host(1), 0)).expect("a free port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            stopped: Arc::default(),
            open: Arc::default(),
        };
        let (stopped, open, serve) = (server.stopped.clone(), server.open.clone(), Arc::new(serve));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                drop(stream.set_nodelay(true));
                if let Ok(clone) = stream.try_clone() {
                    let mut open = open.lock().unwrap();
                    open.retain(|stream| stream.peer_addr().is_ok());
                    open.push(clone);
                }
                let serve = serve.clone();
                let run = move || drop(serve_connection(stream, &*serve));
                drop(thread::Builder::new().stack_size(256 << 10).spawn(run));
            }
        });
        server
    }

    /// Closes all connections and refuses others, as the end of the process does.
    pub fn stop(&self) {
        if self.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        drop(TcpStream::connect(self.address));
        for stream in self.open.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve_connection(stream: TcpStream, serve: &dyn Fn(&Message) -> Vec<u8>) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read(&mut reader, false)? {
        let answer = serve(&request);
        if answer.is_empty() {
            break;
        }
        writer.write_all(&answer)?;
    }
    writer.shutdown(Shutdown::Both)
}

/// Sends a request on a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let answer = read(&mut reader, true)?;
    drop(stream.shutdown(Shutdown::Both));
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns a loopback address of this run with the last number `host`. Connections to it have other
/// addresses as their source, so that no port is taken by chance.
pub fn host(host: u8) -> Ipv4Addr {
    let id = process::id();
    let (second, third) = (16 + id / 250 % 100, 1 + id % 250);
    let byte = |number: u32| u8::try_from(number).unwrap_or(1);
    Ipv4Addr::new(127, byte(second), byte(third), host)
}
