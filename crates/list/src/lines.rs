//! Splits the stream of a watch into messages: one JSON object per line, and blank lines as keep-alives. An
//! object may also be indented over several lines.

use std::fmt;

use crate::entry;

/// The longest message accepted, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// A message of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A blank line: the watch is alive and nothing has changed.
    KeepAlive,
    /// A JSON object, unparsed.
    Object(Vec<u8>),
}

/// Why the stream cannot be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// A message is longer than [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// An object was truncated: what follows it is not its end.
    Truncated,
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "message too long",
            Self::Truncated => "JSON object truncated",
        })
    }
}

/// Buffers the stream up to the next complete message.
#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: Vec<u8>,
    /// The number of bytes scanned.
    scanned: usize,
    /// Where the current line begins.
    line_start: usize,
    /// The nesting depth of braces and brackets.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl MessageReader {
    /// Appends received data.
    ///
    /// # Errors
    /// If the buffered message exceeds [`MAX_MESSAGE_BYTES`] bytes.
    pub fn push(&mut self, data: &[u8]) -> Result<(), StreamError> {
        if self.buffer.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err(StreamError::TooLong);
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Whether a message has been received in part.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete message, if there is one.
    ///
    /// # Errors
    /// If the current object was truncated.
    pub fn next_message(&mut self) -> Result<Option<Message>, StreamError> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            match byte {
                // A JSON string contains no raw line break: it is escaped as \n.
                b'\n' if self.in_string => return Err(StreamError::Truncated),
                b'\n' if self.depth == 0 => return Ok(Some(self.take_message())),
                b'\n' => self.check_inner_line()?,
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                b'{' | b'[' if !self.in_string => self.depth += 1,
                // An unmatched closing bracket is reported by the JSON parser.
                b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        Ok(None)
    }

    /// Checks a line that ended inside an object. Keep-alives and new objects come only between objects, so
    /// either of them here means that the rest of the current object was never received.
    fn check_inner_line(&mut self) -> Result<(), StreamError> {
        let (is_first, line) = (self.line_start == 0, &self.buffer[self.line_start..self.scanned]);
        let blank = line.trim_ascii().is_empty();
        let next_update = !is_first && line.starts_with(b"{") && is_update(line);
        self.line_start = self.scanned;
        if blank || next_update {
            return Err(StreamError::Truncated);
        }
        Ok(())
    }

    fn take_message(&mut self) -> Message {
        let rest = self.buffer.split_off(self.scanned);
        let message = std::mem::replace(&mut self.buffer, rest);
        (self.scanned, self.line_start, self.escaped) = (0, 0, false);
        if message.trim_ascii().is_empty() {
            Message::KeepAlive
        } else {
            Message::Object(message)
        }
    }
}

fn is_update(line: &[u8]) -> bool {
    serde_json::from_slice(line).is_ok_and(|value| entry::update_from_value(value).is_ok())
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLAIN: &str = r#"{"seq":4,"whole":true,"hosts":[{"host":"a}\"[","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"active","share":1.0,"born_ms":0}]}"#;

    fn indented() -> String {
        let value: serde_json::Value = serde_json::from_str(PLAIN).expect("JSON");
        serde_json::to_string_pretty(&value).expect("JSON")
    }

    /// Reads all messages of a text that arrives in chunks of the given size.
    fn read_all(text: &str, chunk_bytes: usize) -> Result<Vec<Message>, StreamError> {
        let (mut lines, mut messages) = (MessageReader::default(), Vec::new());
        for data in text.as_bytes().chunks(chunk_bytes) {
            lines.push(data)?;
            while let Some(message) = lines.next_message()? {
                messages.push(message);
            }
        }
        assert_eq!(lines.has_partial_message(), !text.ends_with('\n'));
        Ok(messages)
    }

    fn parsed(message: &Message) -> serde_json::Value {
        let Message::Object(bytes) = message else { panic!("{message:?}") };
        serde_json::from_slice(bytes).expect("JSON")
    }

    #[test]
    fn an_object_may_be_indented_and_split_into_chunks_of_any_size() {
        let expected: serde_json::Value = serde_json::from_str(PLAIN).expect("JSON");
        for form in [PLAIN.to_string(), indented(), indented().replace('\n', "\r\n")] {
            let text = format!("\n{form}\n\r\n{form}\n");
            for chunk_bytes in 1..text.len() {
                let messages = read_all(&text, chunk_bytes).expect("valid messages");
                assert_eq!(messages.len(), 4, "{text}");
                assert_eq!((&messages[0], &messages[2]), (&Message::KeepAlive, &Message::KeepAlive));
                assert_eq!(
                    (parsed(&messages[1]), parsed(&messages[3])),
                    (expected.clone(), expected.clone())
                );
            }
        }
    }

    /// Guards against a reader that takes a keep-alive or the next object for the rest of a truncated object,
    /// or waits forever for its end.
    #[test]
    fn a_truncated_object_is_detected_by_what_follows() {
        for form in [PLAIN.to_string(), indented()] {
            for cut in 1..form.len() - 1 {
                for next in ["\n\n", "\n{\"seq\":5,\"whole\":false,\"hosts\":[]}\n"] {
                    let text = format!("{}{next}", &form[..cut]);
                    assert_eq!(read_all(&text, 64), Err(StreamError::Truncated), "{text}");
                }
            }
        }
    }

    #[test]
    fn no_more_than_the_longest_message_is_buffered() {
        let mut lines = MessageReader::default();
        assert_eq!(lines.push(&vec![b' '; MAX_MESSAGE_BYTES]), Ok(()));
        assert_eq!(lines.next_message(), Ok(None));
        assert_eq!(lines.push(b" "), Err(StreamError::TooLong));
    }
}
