//! Record of a run: what was sent, answered and run, with the time since its start.

use std::{cell::RefCell, fs::File, io::Write as _, path::Path, rc::Rc, time::Instant};

use eyre::Result;

/// Record that all parts of a run share.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Rc<RefCell<File>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            start: Instant::now(),
            file: Rc::new(RefCell::new(file)),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        let line = format!("{:>8} ms  {text}\n", self.now_ms());
        // A record that can't be written must not change the verdict.
        let _ = self.file.borrow_mut().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
