use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use eyre::Result;
use link::{ConnectionPool, PoolOptions};
use log::info;
use ntex::{
    SharedCfg,
    client::{Client, ClientBuilder, Connector},
    http::HttpServiceConfig,
    time::Seconds,
    web::{self, App, HttpServer},
};
use settings::Host;
use store::HttpTable;
use tokio::{net::UdpSocket, sync::mpsc};

use crate::{
    adapter::{HeaderAdapter, StoreAdapter},
    admin, completions,
    directory::{follow_config, follow_daemons, follow_upstreams},
    follow::follow_releases,
    grants::share_slots,
    loads::read_loads,
    models,
    peers::{Peers, exchange_datagrams, fetch_configs, follow_hosts, serve_config},
    routed,
    running::RunningDaemon,
    services::{self, ServiceLinks},
    shared::Shared,
    tell_loads::tell_loads,
};

/// Time limit of one call to the table service.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// In effect no limit. A limit of 0 means none as well, but then ntex 3.12 never wakes a request that
/// waits for another one's connection.
const CONNECTIONS_MAX: usize = 1 << 20;

/// Time for the last bytes of answers to leave, after all work in flight has ended. It also bounds
/// the wait for idle connections that callers keep open.
const CLOSE_MAX: Seconds = Seconds(5);

/// Announcements that wait while a configuration is fetched.
const ANNOUNCEMENTS_MAX: usize = 16;

/// Ports tried until one is free for both TCP and UDP.
const PORT_ATTEMPTS: u32 = 16;

/// Pause between two looks at deadlines while no job waits; the next one that waits ends it.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// Pause between two looks at deadlines while jobs wait.
const TICK: Duration = Duration::from_millis(10);

/// Pause between two looks for unused connections that have reached their end.
const LINKS_PAUSE: Duration = Duration::from_secs(1);

/// Unused connections of callers are kept for this long if the configuration does not say.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Headers of a request have to arrive within this time.
const HEADERS_MAX: Seconds = Seconds(10);

/// Most bytes of a request's headers that the server itself takes.
const HEADERS_MAX_BYTES: usize = 128 * 1024;

/// Adapter to a platform: translation of requests, and the rows of its store, by a separate
/// connection for each task that reads them.
pub struct PlatformAdapter {
    /// Translation of routed requests.
    pub headers: Arc<dyn HeaderAdapter>,
    /// Makes a connection to the store.
    pub connect_store: Box<dyn Fn() -> Box<dyn StoreAdapter>>,
}

/// Daemon of one host.
pub struct Daemon {
    host: Host,
    platform: Option<PlatformAdapter>,
}

impl Daemon {
    /// Creates a daemon from the settings of its host.
    #[must_use]
    pub const fn new(host: Host) -> Self {
        Self {
            host,
            platform: None,
        }
    }

    /// Serves routed requests of a platform, whose store holds the configuration.
    #[must_use]
    pub fn with_platform(mut self, platform: PlatformAdapter) -> Self {
        self.platform = Some(platform);
        self
    }

    /// Starts serving inside the current ntex system.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(self) -> Result<RunningDaemon> {
        let (peer_listener, socket, peer_listen) = bind_peer(self.host.peer_listen)?;
        let socket = Arc::new(socket);
        let peers = Peers::new(&self.host, Arc::downgrade(&socket), peer_listen)?;
        let mut shared = Shared::new(self.host, peers);
        if let Some(platform) = &self.platform {
            shared = shared.with_header_adapter(platform.headers.clone());
        }
        let shared = Arc::new(shared);
        let host = &shared.host;
        let (listener, listen) = bind(host.listen)?;
        let (admin_listener, admin_listen) = bind(host.admin_listen)?;
        let callers = match self.platform {
            Some(_) => serve_routed(&shared, listener)?,
            None => serve_callers(&shared, listener)?,
        };
        let admin = serve_admin(&shared, admin_listener)?;
        let metrics = match shared.host.metrics_listen {
            Some(address) => Some(serve_metrics(&shared, bind(address)?.0)?),
            None => None,
        };
        info!(
            "daemon: {} serves callers at {listen}, operators at {admin_listen}, peers at {peer_listen}",
            host.name
        );
        let mut running = RunningDaemon::new(
            shared.clone(),
            listen,
            admin_listen,
            peer_listen,
            callers,
            admin,
            metrics,
        );
        let (announce, announcements) = mpsc::channel(ANNOUNCEMENTS_MAX);
        if let Some(platform) = self.platform {
            let connect_store = platform.connect_store;
            running.spawn(follow_config(shared.clone(), connect_store()));
            running.spawn(follow_upstreams(shared.clone(), connect_store()));
            running.spawn(follow_daemons(shared.clone(), connect_store()));
            running.spawn(tell_loads(shared.clone()));
        } else {
            let table = store_client(&shared).await;
            running.spawn(follow_releases(shared.clone(), Box::new(table.clone())));
            running.spawn(follow_hosts(shared.clone(), Box::new(table)));
            running.spawn(read_loads(shared.clone(), upstream_client().await));
            running.spawn(share_slots(shared.clone()));
        }
        running.spawn(exchange_datagrams(shared.clone(), socket, announce));
        running.spawn(serve_config(shared.clone(), peer_listener));
        running.spawn(fetch_configs(shared.clone(), announcements));
        running.spawn(tick(shared));
        Ok(running)
    }
}

fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Binds TCP and UDP at the same address.
fn bind_peer(address: SocketAddr) -> Result<(tokio::net::TcpListener, UdpSocket, SocketAddr)> {
    let mut attempt = 1;
    loop {
        let (listener, bound) = bind(address)?;
        match std::net::UdpSocket::bind(bound) {
            Ok(socket) => {
                listener.set_nonblocking(true)?;
                socket.set_nonblocking(true)?;
                let listener = tokio::net::TcpListener::from_std(listener)?;
                return Ok((listener, UdpSocket::from_std(socket)?, bound));
            }
            // The system chose the port for TCP only; another program may use it for UDP.
            Err(_) if address.port() == 0 && attempt < PORT_ATTEMPTS => attempt += 1,
            Err(error) => return Err(error.into()),
        }
    }
}

fn serve_callers(shared: &Arc<Shared>, listener: TcpListener) -> Result<ntex::server::Server> {
    let workers = shared.host.workers;
    let shared = shared.clone();
    let server = HttpServer::new(async move || {
        let client = upstream_client().await;
        let links = ServiceLinks {
            pooled: client.clone(),
            fresh: upstream_client().await,
            table: Rc::new(store_client(&shared).await),
        };
        App::new()
            .state(shared.clone())
            .state(client.clone())
            .state(links)
            .service(web::resource("/v1/chat/completions").route(web::post().to(completions::chat)))
            .service(web::resource("/v1/completions").route(web::post().to(completions::text)))
            .service(web::resource("/v1/models").route(web::get().to(models::models)))
            .service(web::resource("/services/{path}*").route(web::to(services::service)))
            .default_service(web::to(models::unknown_path))
    })
    .workers(workers)
    .shutdown_timeout(CLOSE_MAX)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

/// Serves the routed requests of a platform.
fn serve_routed(shared: &Arc<Shared>, listener: TcpListener) -> Result<ntex::server::Server> {
    let workers = shared.host.workers;
    let shared = shared.clone();
    let config = HttpServiceConfig::new()
        .set_keepalive(KEEP_ALIVE)
        .set_client_timeout(HEADERS_MAX)
        .set_max_buf_size(HEADERS_MAX_BYTES);
    let server = HttpServer::new(async move || {
        let links = ConnectionPool::new(PoolOptions::default());
        let expiring = Rc::downgrade(&links);
        ntex::rt::spawn(async move {
            while let Some(links) = expiring.upgrade() {
                links.close_expired();
                drop(links);
                tokio::time::sleep(LINKS_PAUSE).await;
            }
        });
        App::new()
            .state(shared.clone())
            .state(links)
            .default_service(web::to(routed::serve))
    })
    .config(SharedCfg::new("CALLERS").add(config))
    .workers(workers)
    .shutdown_timeout(CLOSE_MAX)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

fn serve_admin(shared: &Arc<Shared>, listener: TcpListener) -> Result<ntex::server::Server> {
    let shared = shared.clone();
    let server = HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .service(web::resource("/healthz").route(web::get().to(admin::healthz)))
            .service(web::resource("/readyz").route(web::get().to(admin::readyz)))
            .service(web::resource("/metrics").route(web::get().to(admin::metrics)))
            .service(web::resource("/admin/explain/{id}").route(web::get().to(admin::explain)))
            .service(web::resource("/admin/upstreams").route(web::get().to(admin::upstreams)))
            .service(web::resource("/admin/status").route(web::get().to(admin::status)))
            .service(web::resource("/admin/drain").route(web::post().to(admin::drain)))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

/// Serves the metrics alone, at an address that is open to more programs than the operators'.
fn serve_metrics(shared: &Arc<Shared>, listener: TcpListener) -> Result<ntex::server::Server> {
    let shared = shared.clone();
    let server = HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .service(web::resource("/metrics").route(web::get().to(admin::metrics)))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

/// Returns the client for upstreams; time limits are set for each request.
async fn upstream_client() -> Client {
    ClientBuilder::new()
        .connector::<()>(Connector::new().limit(CONNECTIONS_MAX))
        .disable_timeout()
        .disable_redirects()
        .build(SharedCfg::new("UPSTREAM"))
        .await
        .expect("the plain connector needs nothing that can fail")
}

/// Returns a client of the platform's table service.
async fn store_client(shared: &Shared) -> HttpTable {
    HttpTable::new(shared.host.store, STORE_TIMEOUT)
        .await
        .expect("the plain connector needs nothing that can fail")
}

/// Ticks the dispatcher at short intervals while jobs wait, and rarely otherwise: ticks without a
/// purpose are most of an idle daemon's processor time.
async fn tick(shared: Arc<Shared>) {
    loop {
        let waiting = shared.with_core(|now_us, core| {
            core.act(now_us, |dispatcher, actions| {
                dispatcher.tick(now_us, actions);
            });
            core.dispatcher.has_queued()
        });
        if waiting {
            tokio::time::sleep(TICK).await;
        } else {
            let _ = tokio::time::timeout(IDLE_TICK, shared.queued.notified()).await;
        }
    }
}
