use std::{
    io::{self, Write as _},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use env_logger::{Builder, Env, Target};

/// Lines that wait to be written; the oldest stay and new ones are dropped and counted. Some seconds
/// at the peak, about 1 MB.
const LINES_MAX: usize = 4_096;

/// Writer that passes lines to a thread and never waits for it.
struct Lines {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl io::Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes logs to standard output: time, level, part, event, then fields as `name=value`.
///
/// A slow reader of the output delays no request; lines that find no room are counted in a line of
/// their own.
pub fn init_logging() {
    let (sender, receiver) = sync_channel(LINES_MAX);
    let dropped = Arc::new(AtomicU64::new(0));
    let lines = Lines {
        sender,
        dropped: dropped.clone(),
    };
    thread::spawn(move || write_lines(&receiver, &dropped));
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(lines)))
        .format(|buffer, record| {
            let at = buffer.timestamp_millis();
            writeln!(buffer, "{at} {} {}", record.level(), record.args())
        })
        .init();
}

fn write_lines(receiver: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(line) = receiver.recv() {
        let mut batch = line;
        batch.extend(receiver.try_iter().take(LINES_MAX).flatten());
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend(format!("WARN log: dropped lines={lost}\n").into_bytes());
        }
        // Without a reader there is nobody to tell.
        let _ = output.write_all(&batch);
        let _ = output.flush();
    }
}
