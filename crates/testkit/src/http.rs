//! The part of HTTP/1.1 that the test doubles need.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, BufReader};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Head, including the first line.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message, whose body length is given by Content-Length; `None` if the connection ends before the
/// message begins.
///
/// # Errors
/// If the connection fails or ends within the message.
pub async fn read(from: &mut BufReader<impl AsyncRead + Unpin>) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match from.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof && head.is_empty() => return Ok(None),
            Err(e) => return Err(e),
        }
    }
    let mut message = Message { head: String::from_utf8_lossy(&head).into_owned(), body: Vec::new() };
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body).await?;
    Ok(Some(message))
}

/// Encodes a response with a body.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut out =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}
