//! Stand-in of the platform's table service and host list, kept in memory.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use ::store::{Expect, HostEntry, HostList as _, MemoryTable, StoreError, StoreVersion};
use futures::FutureExt as _;
use ntex::{
    http::header,
    util::Bytes,
    web::{self, App, HttpRequest, HttpResponse, HttpServer, types},
};
use serde::Deserialize;

use crate::{RunningServer, StoreControl, service::broken_response};

#[derive(Default)]
struct Inner {
    control: StoreControl,
    table: MemoryTable,
    reads: u64,
    writes: u64,
}

/// Stand-in of the platform's table service and host list; clones share one state.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
}

/// Query of `/changes`.
#[derive(Deserialize)]
struct ChangesQuery {
    since: u64,
    prefix: String,
}

impl Store {
    /// Replaces the injected faults.
    pub fn control(&self, control: StoreControl) {
        self.with_inner(|inner| inner.control = control);
    }

    /// Sets the host list.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.with_inner(|inner| inner.table.set_hosts(hosts));
    }

    /// Returns the number of reads and writes so far.
    #[must_use]
    pub fn calls(&self) -> (u64, u64) {
        self.with_inner(|inner| (inner.reads, inner.writes))
    }

    /// Starts the server; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(&self, address: SocketAddr) -> io::Result<RunningServer> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let store = self.clone();
        let server = HttpServer::new(async move || {
            App::new()
                .state(store.clone())
                .state(types::PayloadConfig::new(16 * 1024 * 1024))
                .service(web::resource("/control").route(web::post().to(set_control)))
                .service(
                    web::resource("/hosts")
                        .route(web::get().to(get_hosts))
                        .route(web::put().to(put_hosts)),
                )
                .service(web::resource("/changes").route(web::get().to(get_changes)))
                .service(
                    web::resource("/rows/{key}*")
                        .route(web::get().to(get_row))
                        .route(web::put().to(put_row)),
                )
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

    /// Applies the faults `slow_ms` and `down`; returns the response if the call fails.
    async fn apply_faults(&self) -> Option<HttpResponse> {
        let control = self.with_inner(|inner| inner.control.clone());
        if control.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(control.slow_ms)).await;
        }
        control
            .down
            .then(|| HttpResponse::ServiceUnavailable().finish())
    }
}

async fn set_control(
    store: types::State<Store>,
    control: types::Json<StoreControl>,
) -> HttpResponse {
    store.control(control.into_inner());
    HttpResponse::Ok().finish()
}

async fn get_hosts(store: types::State<Store>) -> HttpResponse {
    if let Some(response) = store.apply_faults().await {
        return response;
    }
    let hosts = store.with_inner(|inner| {
        inner.reads += 1;
        inner.table.list().now_or_never()
    });
    match hosts {
        Some(Ok(hosts)) => HttpResponse::Ok().json(&hosts),
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn put_hosts(store: types::State<Store>, hosts: types::Json<Vec<HostEntry>>) -> HttpResponse {
    store.set_hosts(hosts.into_inner());
    HttpResponse::Ok().finish()
}

async fn get_changes(
    store: types::State<Store>,
    query: types::Query<ChangesQuery>,
) -> HttpResponse {
    if let Some(response) = store.apply_faults().await {
        return response;
    }
    let rows = store.with_inner(|inner| {
        inner.reads += 1;
        inner
            .table
            .scan_now(&query.prefix, StoreVersion::new(0, query.since))
    });
    match rows {
        Ok(rows) => HttpResponse::Ok().json(&rows),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn get_row(request: HttpRequest, store: types::State<Store>) -> HttpResponse {
    if let Some(response) = store.apply_faults().await {
        return response;
    }
    let row = store.with_inner(|inner| {
        inner.reads += 1;
        inner.table.read_now(row_key(&request))
    });
    match row {
        Ok(Some(row)) => HttpResponse::Ok().json(&row),
        Ok(None) => HttpResponse::NotFound().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn put_row(request: HttpRequest, store: types::State<Store>, body: Bytes) -> HttpResponse {
    if let Some(response) = store.apply_faults().await {
        return response;
    }
    let if_match = request
        .headers()
        .get(header::IF_MATCH)
        .and_then(|value| value.to_str().ok());
    let expect = match if_match.map(str::parse) {
        Some(Ok(number)) => Expect::Version(StoreVersion::new(0, number)),
        Some(Err(_)) => return HttpResponse::BadRequest().finish(),
        None => Expect::Absent,
    };
    let Ok(value) = std::str::from_utf8(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let (result, is_lost) = store.with_inner(|inner| {
        inner.writes += 1;
        let is_lost = inner.control.lose_answers > 0;
        inner.control.lose_answers = inner.control.lose_answers.saturating_sub(1);
        (
            inner.table.write_now(row_key(&request), expect, value),
            is_lost,
        )
    });
    if is_lost {
        return broken_response();
    }
    match result {
        Ok(version) => HttpResponse::Ok().json(&serde_json::json!({ "version": version.number })),
        Err(StoreError::Conflict(row)) => HttpResponse::PreconditionFailed().json(&row),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Returns the key of the row that the path of a request names.
fn row_key(request: &HttpRequest) -> &str {
    request.path().strip_prefix("/rows/").unwrap_or_default()
}
