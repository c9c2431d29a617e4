//! Structured log: one JSON object a line on standard output.
//!
//! A line is written for each decision about a request that was not a plain
//! success, for each change of what the process believes, and at start, stop,
//! reload, and loss or return of a dependency. A writer thread does the output,
//! so that a slow reader of the log delays no request; lines beyond the rate or
//! the queue are dropped and counted in the next line's `dropped`.

use serde::Serialize;
use std::io::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 1024;

/// Lines a second that are written in the long run.
const LINES_PER_S: i64 = 60;

/// Lines that may be written at once.
const BURST_LINES: i64 = 400;

/// Importance of a line; only [`EventClass::Request`] lines are limited in rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventClass {
    /// Belief or life of the process.
    State,
    /// Fate of one request.
    Request,
}

/// One logged event; its fields become those of the line.
pub trait LogEvent: Serialize {
    /// Name of the event, which never changes its meaning.
    const NAME: &'static str;
    /// Importance of the event.
    const CLASS: EventClass;
}

#[derive(Serialize)]
struct LogLine<'a, E: Serialize> {
    time_ms: u64,
    node: &'a str,
    event: &'static str,
    #[serde(flatten)]
    fields: &'a E,
    #[serde(skip_serializing_if = "is_zero")]
    dropped: u64,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

#[derive(Debug)]
struct LogShared {
    node: String,
    sender: SyncSender<Vec<u8>>,
    tokens: AtomicI64,
    refilled: Mutex<Instant>,
    dropped: AtomicU64,
}

/// Handle to the process's log.
#[derive(Clone, Debug)]
pub struct EventLog {
    shared: Arc<LogShared>,
}

impl EventLog {
    /// Starts the log of the instance named `node`; the writer ends with the process.
    pub fn start(node: &str) -> EventLog {
        let (log, receiver) = EventLog::queue(node);
        let writer = thread::Builder::new().name("log".to_owned());
        if let Err(error) = writer.spawn(move || write_lines(&receiver)) {
            eprintln!("log writer not started: {error}; nothing will be logged");
        }
        log
    }

    /// Creates a log whose lines are taken from the returned queue.
    pub fn queue(node: &str) -> (EventLog, Receiver<Vec<u8>>) {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        let shared = LogShared {
            node: node.to_owned(),
            sender,
            tokens: AtomicI64::new(BURST_LINES),
            refilled: Mutex::new(Instant::now()),
            dropped: AtomicU64::new(0),
        };
        let log = EventLog {
            shared: Arc::new(shared),
        };
        (log, receiver)
    }

    /// Writes one event, or counts it as dropped.
    pub fn emit<E: LogEvent>(&self, event: &E) {
        let shared = &self.shared;
        if E::CLASS == EventClass::Request && !self.take_token() {
            shared.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = shared.dropped.swap(0, Ordering::Relaxed);
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = LogLine {
            time_ms: time.map_or(0, |time| time.as_millis() as u64),
            node: &shared.node,
            event: E::NAME,
            fields: event,
            dropped,
        };
        let mut bytes = serde_json::to_vec(&line).expect("events always encode");
        bytes.push(b'\n');
        if shared.sender.try_send(bytes).is_err() {
            shared.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    fn take_token(&self) -> bool {
        let shared = &self.shared;
        if shared.tokens.fetch_sub(1, Ordering::Relaxed) > 0 {
            return true;
        }
        let mut refilled = shared.refilled.lock().expect("no panic while locked");
        let earned = (refilled.elapsed().as_secs_f64() * LINES_PER_S as f64) as i64;
        if earned == 0 {
            shared.tokens.store(0, Ordering::Relaxed);
            return false;
        }
        *refilled = Instant::now();
        let tokens = earned.min(BURST_LINES) - 1;
        shared.tokens.store(tokens, Ordering::Relaxed);
        true
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    while let Ok(mut bytes) = receiver.recv() {
        while let Ok(more) = receiver.try_recv() {
            bytes.extend_from_slice(&more);
        }
        if output
            .write_all(&bytes)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
