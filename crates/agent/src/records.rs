//! Appends complete records to a file. A record that could not be written or synced is removed again, also if
//! the disk fails for a while.

use std::fs::File;
use std::io::{self, Write};

/// The file operations that [`Records`] needs; tests replace them by ones that fail.
pub trait Storage {
    /// Appends bytes at the end of the file.
    ///
    /// # Errors
    /// If not all bytes can be written; some of them may be in the file.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Returns once everything written so far is on disk.
    ///
    /// # Errors
    /// If the disk fails; what was written since the last sync may be on disk or not.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    /// If the file can't be truncated.
    fn truncate_to(&mut self, length: u64) -> io::Result<()>;
}

impl Storage for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate_to(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}

/// A file of records, open for appending.
pub struct Records<F = File> {
    file: F,
    /// The length in bytes of all complete records.
    length: u64,
    /// Whether the file may contain part of a failed record after the complete ones.
    may_be_partial: bool,
}

impl<F: Storage> Records<F> {
    /// Wraps a file that consists of `length` bytes of complete records.
    pub fn new(file: F, length: u64) -> Self {
        Self { file, length, may_be_partial: false }
    }

    /// Appends a record and returns once it is synced to disk.
    ///
    /// # Errors If the record can't be written or synced; it is then removed, at the latest before the next
    /// record is appended. A later call may succeed.
    pub fn append_record(&mut self, record: &[u8]) -> io::Result<()> {
        if self.may_be_partial {
            self.remove_partial_record()?;
        }
        self.may_be_partial = true;
        if let Err(error) = self.file.append(record).and_then(|()| self.file.sync()) {
            // If this fails too, the next call truncates the file before it appends.
            let _ = self.remove_partial_record();
            return Err(error);
        }
        self.may_be_partial = false;
        self.length += record.len() as u64;
        Ok(())
    }

    /// Removes what a failed record left behind. A partial record, or one that was never acted on, would be
    /// read as damage once another record follows it.
    fn remove_partial_record(&mut self) -> io::Result<()> {
        self.file.truncate_to(self.length)?;
        self.file.sync()?;
        self.may_be_partial = false;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An in-memory file with injected failures.
    #[derive(Default)]
    struct FaultyFile {
        bytes: Vec<u8>,
        /// The number of bytes that a write accepts before it fails; `None` for all.
        accepted_bytes: Option<usize>,
        fails_to_sync: bool,
        fails_to_truncate: bool,
    }

    fn failure() -> io::Error {
        rustix::io::Errno::IO.into()
    }

    impl Storage for FaultyFile {
        fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
            let accepted = self.accepted_bytes.unwrap_or(bytes.len()).min(bytes.len());
            self.bytes.extend_from_slice(&bytes[..accepted]);
            if accepted < bytes.len() {
                return Err(failure());
            }
            Ok(())
        }

        fn sync(&mut self) -> io::Result<()> {
            if self.fails_to_sync {
                return Err(failure());
            }
            Ok(())
        }

        fn truncate_to(&mut self, length: u64) -> io::Result<()> {
            if self.fails_to_truncate {
                return Err(failure());
            }
            self.bytes.truncate(length as usize);
            Ok(())
        }
    }

    fn records() -> Records<FaultyFile> {
        let mut records = Records::new(FaultyFile::default(), 0);
        records.append_record(b"first\n").expect("the disk works");
        records
    }

    #[test]
    fn a_partially_written_record_is_removed() {
        let mut records = records();
        records.file.accepted_bytes = Some(3);
        assert!(records.append_record(b"second\n").is_err());
        assert_eq!(records.file.bytes, b"first\n");
        records.file.accepted_bytes = None;
        records.append_record(b"third\n").expect("the disk has space again");
        assert_eq!(records.file.bytes, b"first\nthird\n");
    }

    #[test]
    fn a_record_that_could_not_be_synced_is_removed() {
        let mut records = records();
        records.file.fails_to_sync = true;
        assert!(records.append_record(b"second\n").is_err());
        assert!(records.append_record(b"third\n").is_err());
        records.file.fails_to_sync = false;
        records.append_record(b"fourth\n").expect("the disk works again");
        assert_eq!(records.file.bytes, b"first\nfourth\n");
    }

    #[test]
    fn a_failed_truncation_is_repeated_before_the_next_record() {
        let mut records = records();
        (records.file.accepted_bytes, records.file.fails_to_truncate) = (Some(3), true);
        assert!(records.append_record(b"second\n").is_err());
        assert_eq!(records.file.bytes, b"first\nsec");
        records.file.accepted_bytes = None;
        assert!(records.append_record(b"third\n").is_err(), "nothing is appended after a partial record");
        records.file.fails_to_truncate = false;
        records.append_record(b"fourth\n").expect("the disk works again");
        assert_eq!(records.file.bytes, b"first\nfourth\n");
    }
}
