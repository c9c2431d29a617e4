//! Structured log: one JSON object per line on standard output.
//!
//! A line is written for each request that was not a plain success, for each change
//! of the state that the process acts on, and at start, stop, reload, and loss or
//! return of a dependency. A writer thread does the output, so that a slow reader
//! of the log delays no request. Lines beyond the rate limit or the queue's length
//! are dropped and counted in the next line's `dropped`.

use serde::Serialize;
use std::io::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Most lines that wait for the writer thread.
const QUEUE_LINES: usize = 1024;

/// Long-run rate limit of request lines, per second.
const LINES_PER_S: i64 = 60;

/// Request lines that may be written at once.
const BURST_LINES: i64 = 400;

/// Class of a line; only [`EventClass::Request`] lines are limited in rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventClass {
    /// Change of the process's state, including its start and stop.
    State,
    /// Outcome of one request.
    Request,
}

/// Event that can be logged; its fields become fields of the line.
pub trait LogEvent: Serialize {
    /// Name of the event; its meaning must not change, since log readers rely on it.
    const NAME: &'static str;
    const CLASS: EventClass;
}

#[derive(Serialize)]
struct LogLine<'a, E: Serialize> {
    /// Milliseconds since the Unix epoch.
    time_ms: u64,
    /// Name of the instance.
    node: &'a str,
    event: &'static str,
    #[serde(flatten)]
    fields: &'a E,
    #[serde(skip_serializing_if = "is_zero")]
    /// Lines dropped since the line before.
    dropped: u64,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

#[derive(Debug)]
struct LogShared {
    /// Name of the instance.
    instance: String,
    sender: SyncSender<Vec<u8>>,
    /// Tokens of the rate limit; each request line takes one.
    tokens: AtomicI64,
    last_refill: Mutex<Instant>,
    dropped: AtomicU64,
}

/// Handle to the process's log.
#[derive(Clone, Debug)]
pub struct EventLog {
    shared: Arc<LogShared>,
}

impl EventLog {
    /// Starts the log of the instance called `instance`; the writer runs until the process ends.
    pub fn start(instance: &str) -> EventLog {
        let (log, receiver) = EventLog::with_queue(instance);
        let writer = thread::Builder::new().name("log".to_owned());
        if let Err(error) = writer.spawn(move || write_lines(&receiver)) {
            eprintln!("log writer thread cannot be started: {error}; nothing will be logged");
        }
        log
    }

    /// Creates a log whose lines go to the returned queue.
    pub fn with_queue(instance: &str) -> (EventLog, Receiver<Vec<u8>>) {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        let shared = LogShared {
            instance: instance.to_owned(),
            sender,
            tokens: AtomicI64::new(BURST_LINES),
            last_refill: Mutex::new(Instant::now()),
            dropped: AtomicU64::new(0),
        };
        let log = EventLog {
            shared: Arc::new(shared),
        };
        (log, receiver)
    }

    /// Queues the line of an event, or counts it as dropped.
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
            node: &shared.instance,
            event: E::NAME,
            fields: event,
            dropped,
        };
        let mut bytes =
            serde_json::to_vec(&line).expect("events have no values that JSON cannot encode");
        bytes.push(b'\n');
        if shared.sender.try_send(bytes).is_err() {
            shared.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    /// Returns whether the rate limit allows one more request line.
    fn take_token(&self) -> bool {
        let shared = &self.shared;
        if shared.tokens.fetch_sub(1, Ordering::Relaxed) > 0 {
            return true;
        }
        let mut last_refill = shared.last_refill.lock().expect("no panic while locked");
        let refill = (last_refill.elapsed().as_secs_f64() * LINES_PER_S as f64) as i64;
        if refill == 0 {
            shared.tokens.store(0, Ordering::Relaxed);
            return false;
        }
        *last_refill = Instant::now();
        let tokens = refill.min(BURST_LINES) - 1;
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
