//! Starts a daemon: binds its addresses, starts its servers and spawns its background tasks.

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
    SharedCfg, chain_factory, fn_service,
    http::{HttpService, HttpServiceConfig, error::DispatchError},
    io::{Io, IoConfig, Layer},
    server::{Config, ServerBuilder},
    time::Seconds,
    web::{self, App},
};
use settings::Host;
use store::{HttpTable, Table};
use tokio::{net::UdpSocket, sync::mpsc};

use crate::{
    adapter::{CloudAdapter, HeaderAdapter, StoreAdapter},
    admin,
    announce_loads::announce_loads,
    caller_connections::CallerConnections,
    caller_io::CallerIo,
    completions,
    directory::{follow_config, follow_daemons, follow_peer, follow_upstreams},
    duties::{gather_usage, hold_duties, order_upstreams, report_usage},
    follow::follow_releases,
    grants::share_slots,
    loads::read_loads,
    models,
    peers::{Peers, exchange_datagrams, fetch_configs, follow_hosts, serve_config},
    prompt_evidence::exchange_prompt_evidence,
    prompt_store::keep_prompt_evidence,
    routed,
    running::RunningDaemon,
    services::{self, ServiceClients},
    shared::{Shared, host_limits},
    upstream_evidence::exchange_upstream_evidence,
};

/// Time limit of one request to the table service.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit to flush the last responses, after all work in flight has ended. It also limits the
/// wait for idle connections that callers keep open.
const CLOSE_TIMEOUT: Seconds = Seconds(5);

/// Announcements of peers that are queued while a configuration is fetched.
const ANNOUNCEMENTS_MAX: usize = 16;

/// Ports tried until one is free for both TCP and UDP.
const PORT_ATTEMPTS: u32 = 16;

/// Interval between dispatcher ticks while no job is queued; a newly queued job ends it.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// Interval between dispatcher ticks, which check deadlines, while jobs are queued.
const TICK: Duration = Duration::from_millis(10);

/// Interval at which expired idle connections to upstreams are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which idle connections of callers are kept open.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Time limit for a request's headers to arrive.
const HEADERS_TIMEOUT: Seconds = Seconds(10);

/// Bytes that are read at once from a caller, and the least room for a read. The HTTP server parses
/// all chunks of a body that were read; a chunk of one byte takes ten times its bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;
const READ_BUFFER_MIN_BYTES: usize = 1_024;

/// Number of read buffers of a thread that are kept for further connections.
const READ_BUFFERS_KEPT: usize = 16;

/// Largest headers of a request that the HTTP server accepts.
const HEADERS_MAX_BYTES: usize = 64 * 1024;

/// Adapter to a platform: translates request headers and the rows of the platform's store.
pub struct PlatformAdapter {
    /// Translates the headers of routed requests.
    pub headers: Arc<dyn HeaderAdapter>,
    /// Opens a connection to the store; each task that reads the store has its own.
    pub connect_store: Box<dyn Fn() -> Box<dyn StoreAdapter>>,
    /// Opens a connection to the table of the store that holds rows of the router's own.
    pub connect_table: Box<dyn Fn() -> Box<dyn Table>>,
    /// Opens a connection to the platform's control service, if the deployment has duties there;
    /// each duty has its own.
    pub connect_cloud: Option<Box<dyn Fn() -> Box<dyn CloudAdapter>>>,
}

/// Daemon of one host, before it is started.
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

    /// Makes the daemon serve the routed requests of a platform, whose store holds the
    /// configuration.
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
            running.spawn(follow_peer(shared.clone()));
            running.spawn(announce_loads(shared.clone()));
            let table = (platform.connect_table)();
            running.spawn(keep_prompt_evidence(shared.clone(), table));
            if let Some(connect_cloud) = platform.connect_cloud {
                running.spawn(hold_duties(shared.clone(), (platform.connect_table)()));
                running.spawn(gather_usage(shared.clone()));
                let table = (platform.connect_table)();
                running.spawn(report_usage(shared.clone(), table, connect_cloud()));
                running.spawn(order_upstreams(shared.clone(), connect_cloud()));
            }
        } else {
            let table = store_client(&shared).await;
            running.spawn(follow_releases(shared.clone(), Box::new(table.clone())));
            running.spawn(follow_hosts(shared.clone(), Box::new(table.clone())));
            running.spawn(keep_prompt_evidence(shared.clone(), Box::new(table)));
            running.spawn(read_loads(shared.clone(), upstream_pool()));
            running.spawn(share_slots(shared.clone()));
        }
        running.spawn(exchange_prompt_evidence(shared.clone()));
        running.spawn(exchange_upstream_evidence(shared.clone()));
        running.spawn(exchange_datagrams(shared.clone(), socket, announce));
        running.spawn(serve_config(shared.clone(), peer_listener));
        running.spawn(fetch_configs(shared.clone(), announcements));
        if shared.holds.is_limited() {
            let holder = shared.clone();
            running.spawn(async move { holder.holds.watch(&holder.metrics).await });
        }
        running.spawn(tick(shared));
        Ok(running)
    }
}

/// Binds a TCP address and returns the listener with the actual address.
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
            // The system chose a free TCP port; another program may use its number for UDP.
            Err(_) if address.port() == 0 && attempt < PORT_ATTEMPTS => attempt += 1,
            Err(error) => return Err(error.into()),
        }
    }
}

/// Serves model requests and plain services.
fn serve_callers(shared: &Arc<Shared>, listener: TcpListener) -> Result<ntex::server::Server> {
    let factory_shared = shared.clone();
    let server =
        caller_server(shared).listen("callers", listener, async move |config: Config| {
            config.config(SharedCfg::new("CALLERS").add(caller_io_config()));
            let shared = factory_shared.clone();
            let connections = caller_connections(&shared);
            let pool = upstream_pool();
            let clients = ServiceClients {
                pool: pool.clone(),
                table: Rc::new(store_client(&shared).await),
            };
            let app = App::new()
                .state(shared)
                .state(pool)
                .state(clients)
                .state(connections.clone())
                .service(
                    web::resource("/v1/chat/completions").route(web::post().to(completions::chat)),
                )
                .service(web::resource("/v1/completions").route(web::post().to(completions::text)))
                .service(web::resource("/v1/models").route(web::get().to(models::models)))
                .service(web::resource("/services/{path}*").route(web::to(services::service)))
                .default_service(web::to(models::unknown_path));
            chain_factory(fn_service(accept(connections))).and_then(HttpService::new(app))
        })?;
    Ok(server.run())
}

/// Serves the routed requests of a platform.
fn serve_routed(shared: &Arc<Shared>, listener: TcpListener) -> Result<ntex::server::Server> {
    let factory_shared = shared.clone();
    let server =
        caller_server(shared).listen("callers", listener, async move |config: Config| {
            let http = HttpServiceConfig::new()
                .set_keepalive(KEEP_ALIVE)
                .set_client_timeout(HEADERS_TIMEOUT)
                .set_max_buf_size(HEADERS_MAX_BYTES);
            config.config(SharedCfg::new("CALLERS").add(http).add(caller_io_config()));
            let shared = factory_shared.clone();
            let connections = caller_connections(&shared);
            let pool = upstream_pool();
            let app = App::new()
                .state(shared)
                .state(pool)
                .state(connections.clone())
                .default_service(web::to(routed::serve));
            chain_factory(fn_service(accept(connections))).and_then(HttpService::new(app))
        })?;
    Ok(server.run())
}

/// Returns the builder of the server for callers.
fn caller_server(shared: &Shared) -> ServerBuilder {
    ntex::server::build()
        .workers(shared.host.workers)
        .shutdown_timeout(CLOSE_TIMEOUT)
        .disable_signals()
}

/// Returns the sizes of the buffers of a caller's connection.
fn caller_io_config() -> IoConfig {
    IoConfig::new().set_read_buf(READ_BUFFER_BYTES, READ_BUFFER_MIN_BYTES, READ_BUFFERS_KEPT)
}

/// Returns the connections of callers to the present thread.
fn caller_connections(shared: &Arc<Shared>) -> Rc<CallerConnections> {
    let options = host_limits(&shared.host).connections();
    let options = options.map(|options| options.divided_by(shared.host.workers));
    let connections = CallerConnections::new(shared, options);
    ntex::rt::spawn(connections.clone().watch());
    connections
}

/// Returns the function that adds a new connection to the table and bounds what is kept of its
/// bytes.
fn accept(
    connections: Rc<CallerConnections>,
) -> impl (AsyncFn(Io) -> Result<Io<Layer<CallerIo>>, DispatchError>) + Clone {
    async move |io: Io| {
        connections.accept(io.get_ref());
        Ok(io.add_filter(CallerIo::new(&connections)))
    }
}

/// Serves the admin address for operators.
fn serve_admin(shared: &Arc<Shared>, listener: TcpListener) -> Result<ntex::server::Server> {
    let factory_shared = shared.clone();
    let server = operator_server().listen("operators", listener, async move |config: Config| {
        config.config(SharedCfg::new("OPERATORS"));
        let shared = factory_shared.clone();
        let connections = operator_connections(&shared);
        let app = App::new()
            .state(shared)
            .service(web::resource("/healthz").route(web::get().to(admin::healthz)))
            .service(web::resource("/readyz").route(web::get().to(admin::readyz)))
            .service(web::resource("/metrics").route(web::get().to(admin::metrics)))
            .service(web::resource("/admin/explain/{id}").route(web::get().to(admin::explain)))
            .service(web::resource("/admin/upstreams").route(web::get().to(admin::upstreams)))
            .service(web::resource("/admin/status").route(web::get().to(admin::status)))
            .service(web::resource("/admin/prompts").route(web::get().to(admin::prompts)))
            .service(
                web::resource("/admin/prompts/{part}")
                    .route(web::delete().to(admin::release_prompt)),
            )
            .service(web::resource("/admin/drain").route(web::post().to(admin::drain)));
        chain_factory(fn_service(accept(connections))).and_then(HttpService::new(app))
    })?;
    Ok(server.run())
}

/// Serves only the metrics, at an address that may be open to more programs than the admin address.
fn serve_metrics(shared: &Arc<Shared>, listener: TcpListener) -> Result<ntex::server::Server> {
    let factory_shared = shared.clone();
    let server = operator_server().listen("metrics", listener, async move |config: Config| {
        config.config(SharedCfg::new("METRICS"));
        let shared = factory_shared.clone();
        let connections = operator_connections(&shared);
        let app = App::new()
            .state(shared)
            .service(web::resource("/metrics").route(web::get().to(admin::metrics)));
        chain_factory(fn_service(accept(connections))).and_then(HttpService::new(app))
    })?;
    Ok(server.run())
}

/// Returns the builder of a server for operators.
fn operator_server() -> ServerBuilder {
    ntex::server::build().workers(1).disable_signals()
}

/// Returns the connections to a port for operators.
fn operator_connections(shared: &Arc<Shared>) -> Rc<CallerConnections> {
    let options = host_limits(&shared.host).operator_connections();
    let connections = CallerConnections::for_operators(shared, options);
    ntex::rt::spawn(connections.clone().watch());
    connections
}

/// Returns the connections of one thread to upstreams.
fn upstream_pool() -> Rc<ConnectionPool> {
    let pool = ConnectionPool::new(PoolOptions::default());
    let weak_pool = Rc::downgrade(&pool);
    ntex::rt::spawn(async move {
        while let Some(pool) = weak_pool.upgrade() {
            pool.close_expired();
            drop(pool);
            tokio::time::sleep(EXPIRY_INTERVAL).await;
        }
    });
    pool
}

/// Returns a client of the platform's table service.
async fn store_client(shared: &Shared) -> HttpTable {
    HttpTable::new(shared.host.store, STORE_TIMEOUT)
        .await
        .expect("the plain connector needs nothing that can fail")
}

/// Ticks the dispatcher at short intervals while jobs are queued, and rarely otherwise: needless
/// ticks would be most of an idle daemon's CPU time.
async fn tick(shared: Arc<Shared>) {
    loop {
        let has_queued = shared.with_core(|now_us, core| {
            core.dispatch(now_us, |dispatcher, actions| {
                dispatcher.tick(now_us, actions);
            });
            core.dispatcher.has_queued()
        });
        if has_queued {
            tokio::time::sleep(TICK).await;
        } else {
            let _ = tokio::time::timeout(IDLE_TICK, shared.queued.notified()).await;
        }
    }
}
