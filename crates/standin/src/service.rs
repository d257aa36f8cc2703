//! Stand-in of a plain HTTP service.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::stream;
use ntex::{
    util::Bytes,
    web::{self, App, HttpRequest, HttpResponse, HttpServer, types},
};
use serde::{Deserialize, Serialize};

use crate::{RunningServer, ServiceControl};

/// Time between two checks whether calls are still held.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One call that the plain service ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Idempotency key, empty if there was none.
    pub key: String,
    /// Body as text.
    pub body: String,
}

/// Counters of a plain service, served at `/stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Calls that arrived.
    pub received: u64,
    /// Calls that ran, in that order.
    pub runs: Vec<ServiceCall>,
}

#[derive(Default)]
struct Inner {
    control: ServiceControl,
    stats: ServiceStats,
}

/// Stand-in of an inventory, parts or billing service; clones share one state.
#[derive(Clone, Default)]
pub struct Service {
    inner: Arc<Mutex<Inner>>,
}

impl Service {
    /// Replaces the injected faults.
    pub fn control(&self, control: ServiceControl) {
        self.with_inner(|inner| inner.control = control);
    }

    /// Returns the counters of the service.
    #[must_use]
    pub fn stats(&self) -> ServiceStats {
        self.with_inner(|inner| inner.stats.clone())
    }

    /// Starts the server; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(&self, address: SocketAddr) -> io::Result<RunningServer> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let service = self.clone();
        let server = HttpServer::new(async move || {
            App::new()
                .state(service.clone())
                .service(web::resource("/control").route(web::post().to(set_control)))
                .service(web::resource("/stats").route(web::get().to(get_stats)))
                .default_service(web::to(handle_call))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
        Ok(RunningServer::new(address, server))
    }

    /// Runs a closure on the locked state.
    fn with_inner<R, F>(&self, action: F) -> R
    where
        F: FnOnce(&mut Inner) -> R,
    {
        action(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn set_control(
    service: types::State<Service>,
    control: types::Json<ServiceControl>,
) -> HttpResponse {
    service.control(control.into_inner());
    HttpResponse::Ok().finish()
}

async fn get_stats(service: types::State<Service>) -> HttpResponse {
    HttpResponse::Ok().json(&service.stats())
}

/// Records and answers every request to a path that is not one of the stand-in's own.
async fn handle_call(
    request: HttpRequest,
    service: types::State<Service>,
    body: Bytes,
) -> HttpResponse {
    service.with_inner(|inner| inner.stats.received += 1);
    while service.with_inner(|inner| inner.control.held) {
        tokio::time::sleep(HELD_POLL_INTERVAL).await;
    }
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|key| key.to_str().ok());
    let call = ServiceCall {
        method: request.method().to_string(),
        path: request.path().to_owned(),
        key: key.unwrap_or_default().to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let run = service.with_inner(|inner| {
        if inner.control.drop_before_run > 0 {
            inner.control.drop_before_run -= 1;
            return None;
        }
        inner.stats.runs.push(call);
        if inner.control.drop_after_run > 0 {
            inner.control.drop_after_run -= 1;
            return None;
        }
        Some(inner.stats.runs.len())
    });
    match run {
        Some(number) => HttpResponse::Created().json(&serde_json::json!({ "number": number })),
        None => broken_response(),
    }
}

/// Returns a response whose body fails at once, which closes the connection.
pub(crate) fn broken_response() -> HttpResponse {
    let body = stream::iter([Err::<Bytes, _>(io::Error::other("injected fault"))]);
    HttpResponse::Ok().streaming(body)
}
