//! HTTP interface of one instance for operators.

use crate::control;
use crate::ids;
use crate::instance;
use crate::message;
use crate::stream;
use crate::view;
use async_io::Async;
use http_types::{Method, Request, Response, StatusCode, mime};
use serde::{Deserialize, Serialize};
use std::net::TcpListener;
use std::rc::Rc;

/// Response to `GET /status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    pub id: String,
    pub zone: String,
    /// Identifies this run of the instance; `POST /gone` takes it in hexadecimal.
    pub key: ids::InstanceKey,
    pub ready: bool,
    /// Upstreams whose grants this instance renews.
    pub renewing: usize,
    pub teams: Vec<TeamStatus>,
    pub services: Vec<ServiceStatus>,
}

/// Version in force of one team's configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamStatus {
    pub team: String,
    pub version: u64,
}

/// One service as this instance knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceStatus {
    pub team: String,
    pub service: String,
    pub keyed: bool,
    /// ID of the service's controller, if known.
    pub controller: Option<String>,
    /// Term of the controller; 0 if it is unknown.
    pub term: u32,
    pub ranges: Vec<RangeStatus>,
}

/// One range of a keyed service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeStatus {
    pub first: u64,
    pub last: u64,
    /// Name of the owning upstream; `None` while the range moves or its owner is unknown.
    pub owner: Option<String>,
}

/// Serves operators' connections until the instance stops.
pub async fn serve(control: Rc<control::ControlThread>, listener: Async<TcpListener>) {
    loop {
        let Ok((io, _)) = listener.accept().await else {
            async_io::Timer::after(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let connection = serve_connection(control.clone(), stream::HttpStream::new(io));
        control.spawn(connection);
    }
}

async fn serve_connection(control: Rc<control::ControlThread>, stream: stream::HttpStream) {
    while let Ok(Some(request)) = message::read_request(&stream).await {
        let method = request.method();
        let response = respond(&control, &request);
        let written = message::write_response(&stream, response, method).await;
        if written.is_err() || !stream.is_message_complete() {
            return;
        }
    }
}

fn respond(control: &Rc<control::ControlThread>, request: &Request) -> Response {
    match (request.method(), request.url().path()) {
        (Method::Get, "/health") => text(StatusCode::Ok, "alive\n"),
        (Method::Get, "/ready") if control.is_ready() => text(StatusCode::Ok, "ready\n"),
        (Method::Get, "/ready") => text(StatusCode::ServiceUnavailable, "not ready\n"),
        (Method::Get, "/metrics") => text(StatusCode::Ok, &control.context.metrics.render()),
        (Method::Get, "/status") => status_response(control),
        (Method::Post, "/gone") => gone_response(control, request),
        _ => text(
            StatusCode::NotFound,
            "no such page; see /health, /ready, /metrics, /status\n",
        ),
    }
}

fn text(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body.to_owned());
    response.set_content_type(mime::PLAIN);
    response
}

fn status_response(control: &Rc<control::ControlThread>) -> Response {
    let status = InstanceStatus::new(control);
    let body = serde_json::to_string_pretty(&status).expect("a status always serializes");
    let mut response = text(StatusCode::Ok, &(body + "\n"));
    response.set_content_type(mime::JSON);
    response
}

/// Accepts an operator's confirmation that a run of an instance has ended.
fn gone_response(control: &Rc<control::ControlThread>, request: &Request) -> Response {
    let mut pairs = request.url().query_pairs();
    let key = pairs.find(|(name, _)| name == "key");
    let key = key.and_then(|(_, text)| u64::from_str_radix(&text, 16).ok());
    let Some(key) = key else {
        return text(
            StatusCode::BadRequest,
            "query \"key\" is not an instance key; copy it from `godwitloom status`\n",
        );
    };
    log::warn!("an operator confirmed that instance run {key:016x} has ended");
    control.handle(instance::InstanceEvent::RunEnded(ids::InstanceKey(key)));
    text(StatusCode::Ok, "noted\n")
}

impl InstanceStatus {
    fn new(control: &Rc<control::ControlThread>) -> InstanceStatus {
        let core = control.core.borrow();
        let view = control.context.view.load();
        let mut services: Vec<_> = view
            .services()
            .map(|service| ServiceStatus::new(&core, service))
            .collect();
        services.sort_by(|one, next| (&one.team, &one.service).cmp(&(&next.team, &next.service)));
        let versions = control.config_versions().into_iter();
        InstanceStatus {
            id: core.me().id.clone(),
            zone: core.me().zone.clone(),
            key: core.me().key,
            ready: control.is_ready(),
            renewing: core.renewer().renewing(),
            teams: versions
                .map(|(team, version)| TeamStatus { team, version })
                .collect(),
            services,
        }
    }
}

impl ServiceStatus {
    fn new(core: &instance::InstanceCore, service: &view::ServiceView) -> ServiceStatus {
        let election = core.election(service.config.key);
        let controller = election.and_then(|election| election.controller());
        let name = |key| {
            let pool = service.upstreams.iter().find(|pool| pool.config.key == key);
            pool.map(|pool| pool.config.name.clone())
        };
        let ranges = service.table.entries().iter().map(|entry| RangeStatus {
            first: entry.range.first,
            last: entry.range.last,
            owner: entry.owner.and_then(name),
        });
        ServiceStatus {
            team: service.team.to_string(),
            service: service.config.name.clone(),
            keyed: service.config.keyed,
            controller: controller.map(|(peer, _)| peer.id.clone()),
            term: controller.map_or(0, |(_, term)| term),
            ranges: ranges.collect(),
        }
    }
}
