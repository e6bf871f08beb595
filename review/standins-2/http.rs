//! A small HTTP/1.1 client with a time limit for each call.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long a caller waits for a response before it moves on to another node.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of redirects that a call follows.
const MAX_REDIRECTS: usize = 2;

/// A response.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: String,
    /// Address that gave the response, after redirects.
    pub from: SocketAddr,
}

/// Calls a node and follows redirects. Returns why there was no response, if there was none.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Result<Response, String> {
    let (mut to, mut path) = (to, path.to_owned());
    for _ in 0..=MAX_REDIRECTS {
        let text = exchange(to, method, &path, body).map_err(|error| format!("{to}: {error}"))?;
        let (head, rest) = text
            .split_once("\r\n\r\n")
            .ok_or(format!("{to}: cut short"))?;
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status: u16 = status.ok_or(format!("{to}: malformed"))?;
        let location = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            let target = value.trim().strip_prefix("http://")?;
            name.eq_ignore_ascii_case("location")
                .then(|| target.to_owned())
        });
        match (status, location) {
            (307, Some(target)) => {
                let (address, rest) = target.split_once('/').unwrap_or((&target, ""));
                to = address
                    .parse()
                    .map_err(|_| format!("redirected to {target}"))?;
                path = format!("/{rest}");
            }
            _ => {
                return Ok(Response {
                    status,
                    body: rest.to_owned(),
                    from: to,
                });
            }
        }
    }
    Err(format!("{to}: too many redirects"))
}

fn exchange(to: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<String> {
    let until = Instant::now() + CALL_TIMEOUT;
    let mut stream = TcpStream::connect_timeout(&to, CALL_TIMEOUT)?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer)? {
            0 => return Ok(String::from_utf8_lossy(&text).into_owned()),
            read => text.extend_from_slice(&buffer[..read]),
        }
    }
}
