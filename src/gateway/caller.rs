//! One caller's connection.
//!
//! Requests are read ahead while earlier ones are answered; answers leave in the
//! order of the requests. Only requests without a body run side by side. A
//! caller that closes its connection cancels everything that it waits for.

use crate::event_log;
use crate::gateway::{answer, attempts, context};
use crate::h1;
use crate::h1::{head, reader, socket};
use crate::routing;
use crate::timer;
use futures_lite::future::{self, FutureExt};
use futures_util::stream::{FuturesOrdered, StreamExt};
use serde::Serialize;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::bytes::Bytes;

/// Requests of one connection that run side by side.
const MAX_SIDE_BY_SIDE: usize = 16;

/// Limits that hold until a configuration is known.
const FIRST_LIMITS: routing::CallerLimits = routing::CallerLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 16 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Time allowed to the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which the rest of a refused request is read, so that the answer is not lost.
const LINGER: Duration = Duration::from_millis(300);

/// One whole request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub head: head::RequestHead,
    pub body: Bytes,
    pub arrived: Instant,
}

impl CallerRequest {
    fn runs_alone(&self) -> bool {
        !self.body.is_empty() || !matches!(self.head.method.as_str(), "GET" | "HEAD")
    }
}

/// Result of reading one request.
enum ReadEnd {
    Request(Box<CallerRequest>),
    /// The caller left; nobody waits for answers any more.
    Closed,
    /// No further request is awaited; answers under way are still delivered.
    Idle,
    Refused(answer::RefusalReason),
}

#[derive(Debug, Serialize)]
struct BadRequestEvent {
    reason: &'static str,
    status: u16,
}

impl event_log::LogEvent for BadRequestEvent {
    const NAME: &'static str = "request-unreadable";
    const CLASS: event_log::EventClass = event_log::EventClass::Request;
}

type ReadFuture = Pin<Box<dyn Future<Output = (reader::MessageReader, ReadEnd)>>>;
type AnswerFuture = Pin<Box<dyn Future<Output = (answer::CallerAnswer, bool)>>>;

/// Connection of one caller.
pub struct CallerConnection {
    context: Arc<context::GatewayContext>,
    runner: Rc<attempts::AttemptRunner>,
    socket: socket::SharedSocket,
}

impl CallerConnection {
    /// Creates the server side of an accepted connection.
    pub fn new(
        context: Arc<context::GatewayContext>,
        runner: Rc<attempts::AttemptRunner>,
        socket: socket::SharedSocket,
    ) -> CallerConnection {
        CallerConnection {
            context,
            runner,
            socket,
        }
    }

    /// Serves requests until either side closes.
    pub async fn serve(self) {
        let reader = reader::MessageReader::new(self.socket.clone());
        let mut reading = Some(self.read(reader));
        let mut parked: Option<Box<CallerRequest>> = None;
        let mut alone = false;
        let mut answers: FuturesOrdered<AnswerFuture> = FuturesOrdered::new();
        let mut finishing = None;
        loop {
            if let Some(request) = parked.take() {
                let wait = alone || answers.len() >= MAX_SIDE_BY_SIDE || request.runs_alone();
                if wait && !answers.is_empty() {
                    parked = Some(request);
                } else {
                    alone = request.runs_alone();
                    answers.push_back(self.answer(request));
                    continue;
                }
            }
            if answers.is_empty()
                && let Some(refusal) = finishing.take()
            {
                self.refuse(refusal).await;
                return;
            }
            let step = {
                let read = next_read(&mut reading, parked.is_some());
                let answered = next_answer(&mut answers);
                future::or(answered, read).await
            };
            match step {
                Step::Answered(answer, last) => {
                    let stopping = self.context.is_stopping();
                    let close = last || answer.close || stopping;
                    let bytes = answer.encode(close);
                    let written = socket::write_all(&self.socket, &bytes).await;
                    if close || written.is_err() {
                        self.close().await;
                        return;
                    }
                }
                Step::Read(reader, ReadEnd::Request(request)) => {
                    parked = Some(request);
                    reading = Some(self.read(reader));
                }
                Step::Read(_, ReadEnd::Refused(reason)) => finishing = Some(reason),
                Step::Read(_, ReadEnd::Closed) => return,
                Step::Read(reader, ReadEnd::Idle) => {
                    if answers.is_empty() {
                        return;
                    }
                    reading = Some(Box::pin(await_close(reader)));
                }
            }
        }
    }

    fn answer(&self, request: Box<CallerRequest>) -> AnswerFuture {
        let runner = self.runner.clone();
        Box::pin(async move {
            let answer = runner.answer(&request).await;
            (answer, !request.head.keep_alive)
        })
    }

    /// Answers a request that cannot be read, and closes.
    async fn refuse(&self, reason: answer::RefusalReason) {
        let status = reason.status();
        self.context.log.emit(&BadRequestEvent {
            reason: reason.as_str(),
            status,
        });
        self.context.metrics.answered("", status, Duration::ZERO);
        let answer = answer::CallerAnswer::refusal(reason, None);
        let written = socket::write_all(&self.socket, &answer.encode(true)).await;
        if written.is_ok() {
            self.close().await;
        }
    }

    /// Closes without a reset that could overtake the last answer.
    async fn close(&self) {
        let shut = self.socket.get_ref().shutdown(std::net::Shutdown::Write);
        if shut.is_err() {
            return;
        }
        let drain = async {
            let mut rest = [0; 4096];
            while matches!(
                futures_lite::AsyncReadExt::read(&mut &*self.socket, &mut rest).await,
                Ok(count) if count > 0
            ) {}
        };
        timer::within(LINGER, drain).await;
    }

    fn limits(&self) -> routing::CallerLimits {
        let view = self.context.view.load();
        view.config
            .as_ref()
            .map_or(FIRST_LIMITS, |config| config.limits)
    }

    fn read(&self, reader: reader::MessageReader) -> ReadFuture {
        let context = self.context.clone();
        let limits = self.limits();
        Box::pin(read_request(context, limits, reader))
    }
}

enum Step {
    Answered(answer::CallerAnswer, bool),
    Read(reader::MessageReader, ReadEnd),
}

async fn next_read(reading: &mut Option<ReadFuture>, parked: bool) -> Step {
    let Some(read) = reading.as_mut().filter(|_| !parked) else {
        return future::pending().await;
    };
    let (reader, end) = read.await;
    *reading = None;
    Step::Read(reader, end)
}

async fn next_answer(answers: &mut FuturesOrdered<AnswerFuture>) -> Step {
    match answers.next().await {
        Some((answer, last)) => Step::Answered(answer, last),
        None => future::pending().await,
    }
}

async fn read_request(
    context: Arc<context::GatewayContext>,
    limits: routing::CallerLimits,
    mut reader: reader::MessageReader,
) -> (reader::MessageReader, ReadEnd) {
    let end = match await_request(&context, limits, &mut reader).await {
        Ok(()) => match read_whole(limits, &mut reader).await {
            Ok(request) => ReadEnd::Request(Box::new(request)),
            Err(error) => sort_error(error),
        },
        Err(end) => end,
    };
    (reader, end)
}

/// Waits until the caller closes; bytes of further requests stay unread.
async fn await_close(mut reader: reader::MessageReader) -> (reader::MessageReader, ReadEnd) {
    if reader.wait().await.is_ok() {
        future::pending::<()>().await;
    }
    (reader, ReadEnd::Closed)
}

/// Waits for the first byte of a request.
async fn await_request(
    context: &context::GatewayContext,
    limits: routing::CallerLimits,
    reader: &mut reader::MessageReader,
) -> Result<(), ReadEnd> {
    let closing = context.close_idle.listen();
    if context.is_closing() && !reader.has_surplus() {
        return Err(ReadEnd::Idle);
    }
    let arrived = async { reader.wait().await.map_err(|_| ReadEnd::Closed) };
    let idle = async {
        timer::within(limits.idle_timeout, closing).await;
        Err(ReadEnd::Idle)
    };
    arrived.or(idle).await
}

enum WholeError {
    Read(h1::ReadError),
    Slow,
}

async fn read_whole(
    limits: routing::CallerLimits,
    reader: &mut reader::MessageReader,
) -> Result<CallerRequest, WholeError> {
    let head = timer::within(
        limits.head_timeout,
        reader.request_head(limits.max_head_bytes),
    )
    .await;
    let head = head.ok_or(WholeError::Slow)?.map_err(WholeError::Read)?;
    let arrived = Instant::now();
    if head.fields.has_token("expect", "100-continue") {
        let interim = socket::write_all(reader.socket(), b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|error| WholeError::Read(error.into()))?;
    }
    let body = reader.body(head.framing, limits.max_body_bytes);
    let body = timer::within(BODY_TIMEOUT, body).await;
    let body = body.ok_or(WholeError::Slow)?.map_err(WholeError::Read)?;
    Ok(CallerRequest {
        head,
        body,
        arrived,
    })
}

fn sort_error(error: WholeError) -> ReadEnd {
    match error {
        WholeError::Slow => ReadEnd::Refused(answer::RefusalReason::SlowRequest),
        WholeError::Read(h1::ReadError::Malformed(_)) => {
            ReadEnd::Refused(answer::RefusalReason::BadRequest)
        }
        WholeError::Read(h1::ReadError::HeadTooLarge(_)) => {
            ReadEnd::Refused(answer::RefusalReason::HeadTooLarge)
        }
        WholeError::Read(h1::ReadError::BodyTooLarge(_)) => {
            ReadEnd::Refused(answer::RefusalReason::BodyTooLarge)
        }
        WholeError::Read(h1::ReadError::Closed | h1::ReadError::Cut | h1::ReadError::Io(_)) => {
            ReadEnd::Closed
        }
    }
}
