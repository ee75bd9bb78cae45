//! Cuts what a watch brings into messages: one JSON object a line, and blank lines while nothing changes. An object may also
//! be written over several lines, indented.

use std::fmt;

use crate::entry;

/// The longest message that is taken.
pub const MOST: usize = 4 << 20;

/// What a watch says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A blank line: the watch stands, with no news.
    Alive,
    /// An object, as it came.
    Object(Vec<u8>),
}

/// Why what comes can't be followed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// Longer than a message may be.
    TooLong,
    /// An object was broken off: what stands behind it is not its end.
    BrokenOff,
}

impl fmt::Display for Spoilt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "longer than a message may be",
            Self::BrokenOff => "an object was broken off",
        })
    }
}

/// What has come so far and is no whole message yet.
#[derive(Debug, Default)]
pub struct Lines {
    held: Vec<u8>,
    /// How much of it has been looked at, and where its last line begins.
    looked: usize,
    line: usize,
    depth: usize,
    within_text: bool,
    escaped: bool,
}

impl Lines {
    /// More has come.
    ///
    /// # Errors
    /// Where no message may be so long.
    pub fn push(&mut self, data: &[u8]) -> Result<(), Spoilt> {
        if self.held.len() + data.len() > MOST {
            return Err(Spoilt::TooLong);
        }
        self.held.extend_from_slice(data);
        Ok(())
    }

    /// Is a message half there?
    pub fn amid(&self) -> bool {
        !self.held.is_empty()
    }

    /// The next message, if it is whole.
    ///
    /// # Errors
    /// Where the one that is coming was broken off.
    pub fn next_message(&mut self) -> Result<Option<Message>, Spoilt> {
        while let Some(byte) = self.held.get(self.looked).copied() {
            self.looked += 1;
            match byte {
                // No text goes over the end of a line: JSON writes that as \n.
                b'\n' if self.within_text => return Err(Spoilt::BrokenOff),
                b'\n' if self.depth == 0 => return Ok(Some(self.cut())),
                b'\n' => self.line_within()?,
                _ if self.escaped => self.escaped = false,
                b'\\' if self.within_text => self.escaped = true,
                b'"' => self.within_text = !self.within_text,
                b'{' | b'[' if !self.within_text => self.depth += 1,
                // One too many is seen by whoever reads the object.
                b'}' | b']' if !self.within_text => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        Ok(None)
    }

    /// A line within an object has ended. A watch says something only between objects: a sign of life, or the next
    /// object, within one means that the rest of that one never came.
    fn line_within(&mut self) -> Result<(), Spoilt> {
        let (begins, line) = (self.line == 0, &self.held[self.line..self.looked]);
        let blank = line.trim_ascii().is_empty();
        let anew = !begins && line.starts_with(b"{") && is_update(line);
        self.line = self.looked;
        if blank || anew {
            return Err(Spoilt::BrokenOff);
        }
        Ok(())
    }

    fn cut(&mut self) -> Message {
        let rest = self.held.split_off(self.looked);
        let message = std::mem::replace(&mut self.held, rest);
        (self.looked, self.line, self.escaped) = (0, 0, false);
        if message.trim_ascii().is_empty() {
            Message::Alive
        } else {
            Message::Object(message)
        }
    }
}

fn is_update(line: &[u8]) -> bool {
    serde_json::from_slice(line).is_ok_and(|value| entry::update(value).is_ok())
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLAIN: &str = r#"{"seq":4,"whole":true,"hosts":[{"host":"a}\"[","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"active","share":1.0,"born_ms":0}]}"#;

    fn indented() -> String {
        let value: serde_json::Value = serde_json::from_str(PLAIN).expect("JSON");
        serde_json::to_string_pretty(&value).expect("JSON")
    }

    /// All that comes of a text that arrives in pieces of so many bytes.
    fn all(text: &str, piece: usize) -> Result<Vec<Message>, Spoilt> {
        let (mut lines, mut all) = (Lines::default(), Vec::new());
        for data in text.as_bytes().chunks(piece) {
            lines.push(data)?;
            while let Some(message) = lines.next_message()? {
                all.push(message);
            }
        }
        assert_eq!(lines.amid(), !text.ends_with('\n'));
        Ok(all)
    }

    fn parsed(message: &Message) -> serde_json::Value {
        let Message::Object(bytes) = message else { panic!("{message:?}") };
        serde_json::from_slice(bytes).expect("JSON")
    }

    #[test]
    fn an_object_may_be_indented_and_come_in_any_pieces() {
        let wanted: serde_json::Value = serde_json::from_str(PLAIN).expect("JSON");
        for form in [PLAIN.to_string(), indented(), indented().replace('\n', "\r\n")] {
            let text = format!("\n{form}\n\r\n{form}\n");
            for piece in 1..text.len() {
                let all = all(&text, piece).expect("good");
                assert_eq!(all.len(), 4, "{text}");
                assert_eq!((&all[0], &all[2]), (&Message::Alive, &Message::Alive));
                assert_eq!((parsed(&all[1]), parsed(&all[3])), (wanted.clone(), wanted.clone()));
            }
        }
    }

    /// However an object is broken off, neither a sign of life nor the next object passes for its rest, and nobody waits for
    /// an end that can't come.
    #[test]
    fn an_object_that_is_broken_off_is_seen_by_what_follows() {
        for form in [PLAIN.to_string(), indented()] {
            for cut in 1..form.len() - 1 {
                for next in ["\n\n", "\n{\"seq\":5,\"whole\":false,\"hosts\":[]}\n"] {
                    let text = format!("{}{next}", &form[..cut]);
                    assert_eq!(all(&text, 64), Err(Spoilt::BrokenOff), "{text}");
                }
            }
        }
    }

    #[test]
    fn nothing_longer_than_a_message_is_held() {
        let mut lines = Lines::default();
        assert_eq!(lines.push(&vec![b' '; MOST]), Ok(()));
        assert_eq!(lines.next_message(), Ok(None));
        assert_eq!(lines.push(b" "), Err(Spoilt::TooLong));
    }
}
