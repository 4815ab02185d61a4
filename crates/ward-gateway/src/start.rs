//! Starts the parts of a daemon in order.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use quick_error::quick_error;
use slog::{Logger, info, o, warn};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;
use ward_fleet::HostSettings;
use ward_fleet::callers::EndpointKind;

use crate::crash::{check_unfinished_runs, watch_blocked_parts};
use crate::front::{
    ConnectionTracker, DEFAULT_LIMITS, LOOK_INTERVAL, accept_callers, serve_directory,
    serve_endpoint, serve_metrics, serve_readiness,
};
use crate::gateway::Gateway;
use crate::hub::{accept_members, broadcast_crashes, follow_coordinator};
use crate::manifest::sync_manifest;
use crate::metrics::GatewayMetrics;
use crate::queue::dispatch_queue;
use crate::stop::{reload_on_signal, stop_on_signal};
use crate::streams::{persist_streams, spread_streams};
use crate::sync::{sync_engines, watch_store_era};

/// Time between two looks at how late timers are.
const DELAY_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Lateness of a timer that is logged.
const LOGGED_DELAY: Duration = Duration::from_millis(250);
/// Time between sweeps of idle connections, the queue and unfinished runs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

quick_error! {
    /// An error that keeps a daemon from starting or running.
    #[derive(Debug)]
    pub enum GatewayError {
        /// A listening address cannot be bound.
        Address(what: &'static str, address: SocketAddr, cause: io::Error) {
            display("cannot listen on {address} for {what}: {cause}; free the address or change the settings")
            source(cause)
        }
        /// The runtime or its signal handlers cannot be set up.
        Runtime(cause: io::Error) {
            from()
            display("the runtime cannot be set up: {cause}")
            source(cause)
        }
        /// The metrics cannot be registered.
        Metrics(cause: prometheus::Error) {
            from()
            display("metrics cannot be set up: {cause}")
            source(cause)
        }
    }
}

/// Runs a daemon on this thread until SIGTERM or SIGINT stops it.
///
/// # Errors
/// When an address cannot be bound, or when the metrics, the runtime or its signal
/// handlers cannot be set up.
pub fn run_gateway(settings: HostSettings, logger: &Logger) -> Result<(), GatewayError> {
    let logger = logger.new(o!("daemon" => settings.daemon.to_string()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, logger))
}

async fn serve(settings: HostSettings, logger: Logger) -> Result<(), GatewayError> {
    let callers = bind("callers", settings.callers).await?;
    let readiness = bind("readiness checks", settings.readiness).await?;
    let directory = bind("the directory", settings.directory).await?;
    let peers = bind("other daemons", settings.peers).await?;
    let metrics = bind("metrics", settings.metrics).await?;
    info!(
        logger, "daemon: starts"; "zone" => %settings.zone, "callers" => %settings.callers,
        "peers" => %settings.peers, "metrics" => %settings.metrics,
        "cores" => %settings.capacity.cores, "store" => %settings.store,
    );
    let gateway = Rc::new(Gateway::new(settings, GatewayMetrics::register()?, logger));
    let tracker = Rc::new(ConnectionTracker::default());
    spawn_local(accept_callers(
        Rc::clone(&gateway),
        callers,
        Rc::clone(&tracker),
    ));
    spawn_local(serve_endpoint(
        Rc::clone(&gateway),
        EndpointKind::Readiness,
        readiness,
        serve_readiness,
    ));
    spawn_local(serve_endpoint(
        Rc::clone(&gateway),
        EndpointKind::Directory,
        directory,
        serve_directory,
    ));
    spawn_local(serve_endpoint(
        Rc::clone(&gateway),
        EndpointKind::Metrics,
        metrics,
        serve_metrics,
    ));
    spawn_local(accept_members(Rc::clone(&gateway), peers));
    spawn_local(sync_manifest(Rc::clone(&gateway)));
    spawn_local(sync_engines(Rc::clone(&gateway)));
    spawn_local(watch_store_era(Rc::clone(&gateway)));
    spawn_local(follow_coordinator(Rc::clone(&gateway)));
    spawn_local(broadcast_crashes(Rc::clone(&gateway)));
    spawn_local(spread_streams(Rc::clone(&gateway)));
    spawn_local(persist_streams(Rc::clone(&gateway)));
    spawn_local(watch_blocked_parts(Rc::clone(&gateway)));
    spawn_local(dispatch_queue(Rc::clone(&gateway)));
    spawn_local(sweep(Rc::clone(&gateway)));
    spawn_local(look_at_callers(Rc::clone(&gateway)));
    spawn_local(measure_delays(Rc::clone(&gateway)));
    spawn_local(reload_on_signal(Rc::clone(&gateway)));
    stop_on_signal(gateway, tracker).await?;
    Ok(())
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| GatewayError::Address(what, address, cause))
}

/// Periodically closes idle connections, drops old state of the queue and checks
/// unfinished runs; never returns.
async fn sweep(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        gateway.table.borrow_mut().drop_unneeded_permits();
        let table = gateway.table.borrow();
        gateway.pool.sweep(|engine| table.get(engine).is_some());
        gateway.streams.sweep(&table);
        drop(table);
        gateway.queue.sweep();
        check_unfinished_runs(&gateway);
        // The ejection of an engine may have ended.
        gateway.queue.notify_change();
    }
}

/// Periodically closes the connections of callers that are overdue; never returns.
async fn look_at_callers(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(LOOK_INTERVAL.duration()).await;
        let limits = gateway
            .manifest()
            .map_or(DEFAULT_LIMITS, |manifest| manifest.limits);
        gateway.connections.look(&limits);
    }
}

/// Periodically measures how late the thread comes to a timer that is due, which is how long
/// other work keeps a task waiting; never returns.
async fn measure_delays(gateway: Rc<Gateway>) {
    loop {
        let due = Instant::now() + DELAY_PROBE_INTERVAL;
        tokio::time::sleep_until(due).await;
        let delay = due.elapsed();
        gateway.metrics.thread_delay.observe(delay.as_secs_f64());
        if delay >= LOGGED_DELAY {
            let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            warn!(gateway.logger, "daemon: thread was late"; "delay_ms" => millis);
        }
    }
}
