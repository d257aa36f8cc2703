//! Log output that never blocks the daemon.

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

/// Capacity of the queue of lines to write: some seconds of peak load, about 1 MB. When it is full,
/// new lines are dropped and counted.
const LINES_MAX: usize = 4_096;

/// Writer that queues lines for a thread and drops them when the queue is full.
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl io::Write for LineQueue {
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

/// Writes logs to standard output: time, level, component, event, then fields as `name=value`.
///
/// A slow reader of the output delays no request: lines are dropped when the queue is full, and a
/// separate line reports their number.
pub fn init_logging() {
    let (sender, receiver) = sync_channel(LINES_MAX);
    let dropped = Arc::new(AtomicU64::new(0));
    let line_queue = LineQueue {
        sender,
        dropped: dropped.clone(),
    };
    thread::spawn(move || write_lines(&receiver, &dropped));
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(line_queue)))
        .format(|buffer, record| {
            let at = buffer.timestamp_millis();
            writeln!(buffer, "{at} {} {}", record.level(), record.args())
        })
        .init();
}

/// Writes queued lines to standard output until the sender is dropped.
fn write_lines(receiver: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(line) = receiver.recv() {
        let mut batch = line;
        batch.extend(receiver.try_iter().take(LINES_MAX).flatten());
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend(format!("WARN log: dropped lines={lost}\n").into_bytes());
        }
        // If standard output is closed, there is no way to report it.
        let _ = output.write_all(&batch);
        let _ = output.flush();
    }
}
