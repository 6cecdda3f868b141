//! A small deployment on loopback: everything around the gateway's VMs, but not the VMs themselves.
//!
//! Starts the stand-ins, and writes the fleet configuration and the settings of each VM. Its user starts the VMs:
//! `shallotwing try` runs them in the same process, tests as separate processes.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use sw_conf::{EndpointOptions, FleetBuilder, RouteOptions, WorkspaceOptions};
use sw_engine::Options;

use crate::{EngineOptions, Ledger, Link, StandinEngine, StandinPlatform, StandinService, StandinStore};

/// The bearer key of the deployment's workspace `registry`.
pub const KEY: &str = "registry-key";
/// Names of regions. The first ones are those of the deployment in the users' brief.
const REGIONS: [&str; 18] = [
    "lahore",
    "multan",
    "hyderabad",
    "karachi",
    "sukkur",
    "larkana",
    "okara",
    "sahiwal",
    "sialkot",
    "gujrat",
    "jhang",
    "kasur",
    "thatta",
    "badin",
    "dadu",
    "ghotki",
    "attock",
    "jhelum",
];
/// First of the ports that [`free_address`] returns; they end below the kernel's range for outgoing connections.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports that two processes with consecutive ids try.
const PORTS_PER_PROCESS: u32 = 211;
const MODEL: &str = "registry-7b";
const MODEL_SIZE: u64 = 14_000_000_000;
/// A second model, used if engines load models by orders.
const SMALL_MODEL: &str = "registry-3b";
const SMALL_MODEL_SIZE: u64 = 6_000_000_000;
/// Enough memory for one of the two models, not for both.
const ENGINE_MEMORY: u64 = 15_000_000_000;

/// Options of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentOptions {
    /// Number of regions, up to 18; each has one failure domain.
    pub regions: usize,
    /// Entry VMs per failure domain.
    pub vms: usize,
    /// Inference engines per failure domain.
    pub engines: usize,
    /// The capacity of each engine.
    pub engine: Options,
    /// Whether engines load models by orders; each then has memory for one of two models.
    pub takes_orders: bool,
    /// Whether engines reject orders with an outdated fencing token.
    pub checks_orders: bool,
    /// Delay of each direction between VMs; `None` connects them directly, without links.
    pub link_delay: Option<Duration>,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self {
            regions: 3,
            vms: 1,
            engines: 1,
            engine: Options::default(),
            takes_orders: false,
            checks_orders: false,
            link_delay: None,
        }
    }
}

/// A VM for the user of the deployment to start.
#[derive(Debug)]
pub struct VmPlan {
    /// Its id.
    pub vm: String,
    /// Its region, which is also its failure domain.
    pub region: String,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for operators.
    pub operator_listen: SocketAddr,
    /// Its settings file, in INI.
    pub settings: String,
    /// The link through which other VMs reach it, if the deployment has links.
    pub link: Option<Link>,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// The key-value service.
    pub store: StandinStore,
    /// The directory and VM list.
    pub platform: StandinPlatform,
    /// The link through which VMs reach the key-value service.
    pub store_link: Link,
    /// Inference engines, ordered by region.
    pub engines: Vec<StandinEngine>,
    /// Plain services, one in each region.
    pub services: Vec<StandinService>,
    /// The requests that all endpoints ran.
    pub ledger: Ledger,
    /// The fleet configuration, in INI.
    pub fleet: String,
    /// The VMs to start, ordered by region.
    pub vms: Vec<VmPlan>,
}

/// Returns a loopback address with a free port, outside the range from which the kernel picks ports of outgoing
/// connections.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + offset as u16));
        // Binding the port to try it would let a process that another thread starts hold it until its exec.
        let connected = TcpStream::connect(address);
        if connected.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused) {
            return Ok(address);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Deployment {
    /// Starts the stand-ins, and prepares the settings of the VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(options: DeploymentOptions) -> std::io::Result<Self> {
        let regions = &REGIONS[..options.regions.clamp(1, REGIONS.len())];
        let ledger = Ledger::default();
        let store = StandinStore::start(any_port()).await?;
        let platform = StandinPlatform::start(any_port()).await?;
        let store_link = Link::start(any_port(), store.address(), Duration::ZERO).await?;
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for region in regions {
            for number in 1..=options.engines {
                let name = format!("engine-{region}-{number}");
                let engine = EngineOptions {
                    capacity: options.engine,
                    incarnation: 1,
                    takes_orders: options.takes_orders,
                    checks_orders: options.checks_orders,
                };
                engines.push(StandinEngine::start(any_port(), &name, region, engine, ledger.clone()).await?);
            }
            let name = format!("ledger-{region}");
            services.push(StandinService::start(any_port(), &name, region, 1, ledger.clone()).await?);
        }
        let fleet = fleet_text(regions, &options, &engines, &services);
        let vms = prepare_vms(regions, &options, store_link.address(), platform.address()).await?;
        Ok(Self {
            store,
            platform,
            store_link,
            engines,
            services,
            ledger,
            fleet,
            vms,
        })
    }
}

fn fleet_text(
    regions: &[&str],
    options: &DeploymentOptions,
    engines: &[StandinEngine],
    services: &[StandinService],
) -> String {
    let mut builder = FleetBuilder::new();
    builder.objective("2", "1", "0.05").model(MODEL, MODEL_SIZE);
    if options.takes_orders {
        builder.model(SMALL_MODEL, SMALL_MODEL_SIZE).weight_store(MODEL_SIZE);
    }
    for region in regions {
        builder.region(region).domain(region, region);
    }
    for (index, a) in regions.iter().enumerate() {
        for b in &regions[index + 1..] {
            builder.link([a, b], 2_000, 15, "0.02");
        }
    }
    let engine_options = EndpointOptions {
        models: if options.takes_orders {
            &[MODEL, SMALL_MODEL]
        } else {
            &[MODEL]
        },
        memory_bytes: options.takes_orders.then_some(ENGINE_MEMORY),
        checks_orders: options.checks_orders,
        slots: Some(options.engine.slots),
        token_ms: Some(options.engine.token_time.0 as u32),
        price: Some("0.4"),
        ..EndpointOptions::default()
    };
    for (index, engine) in engines.iter().enumerate() {
        let region = regions[index / options.engines.max(1)];
        let id = format!("engine-{region}-{}", index % options.engines.max(1) + 1);
        builder.endpoint(&id, region, &engine.address().to_string(), &engine_options);
    }
    let service_options = EndpointOptions {
        kind: "service",
        slots: Some(64),
        token_ms: Some(20),
        ..EndpointOptions::default()
    };
    for (region, service) in regions.iter().zip(services) {
        builder.endpoint(
            &format!("ledger-{region}"),
            region,
            &service.address().to_string(),
            &service_options,
        );
    }
    add_routes(&mut builder, regions, options.takes_orders);
    builder.to_string()
}

fn add_routes(builder: &mut FleetBuilder, regions: &[&str], takes_orders: bool) {
    let services: Vec<String> = regions.iter().map(|region| format!("ledger-{region}")).collect();
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    builder.class("question", "1", 16).class("payment", "3", 1);
    let question = RouteOptions {
        class: "question",
        models: &[MODEL],
        regions,
        worth: Some("1"),
        deadline_ms: 10_000,
        idempotent: true,
        ..RouteOptions::default()
    };
    let payment = RouteOptions {
        class: "payment",
        services: &services,
        regions,
        worth: Some("5"),
        deadline_ms: 8_000,
        ..RouteOptions::default()
    };
    builder.route("question", &question).route("payment", &payment);
    builder.route(
        "question-home",
        &RouteOptions {
            regions: &regions[..1],
            ..question.clone()
        },
    );
    builder.route(
        "payment-home",
        &RouteOptions {
            regions: &regions[..1],
            services: &services[..1],
            ..payment
        },
    );
    let mut routes = vec!["question", "payment", "question-home", "payment-home"];
    if takes_orders {
        builder.route(
            "question-small",
            &RouteOptions {
                models: &[SMALL_MODEL],
                ..question
            },
        );
        routes.push("question-small");
    }
    builder.workspace(
        "registry",
        &WorkspaceOptions {
            key: KEY,
            quota_per_s: 5_000,
            home: None,
            routes: &routes,
        },
    );
    let other = WorkspaceOptions {
        key: "other-key",
        quota_per_s: 1,
        home: None,
        routes: &routes[..1],
    };
    builder.workspace("other", &other);
}

async fn prepare_vms(
    regions: &[&str],
    options: &DeploymentOptions,
    store: SocketAddr,
    platform: SocketAddr,
) -> std::io::Result<Vec<VmPlan>> {
    let mut vms = Vec::new();
    let mut seeds: Vec<SocketAddr> = Vec::new();
    for region in regions {
        for number in 1..=options.vms {
            let peer_listen = free_address()?;
            let link = match options.link_delay {
                None => None,
                Some(delay) => Some(Link::start(any_port(), peer_listen, delay).await?),
            };
            let advertised = link.as_ref().map_or(peer_listen, Link::address);
            let (listen, operator_listen) = (free_address()?, free_address()?);
            let vm = format!("{region}-{number}");
            let seed_list: Vec<_> = seeds.iter().map(SocketAddr::to_string).collect();
            let settings = format!(
                "[vm]\nid = {vm}\ndomain = {region}\nregion = {region}\nlisten = {listen}\n\
                 peer_listen = {peer_listen}\npeer_advertise = {advertised}\noperator_listen = {operator_listen}\n\
                 seeds = {}\n\n[platform]\nstore = {store}\ndirectory = {platform}\nvm_list = {platform}\n\n\
                 [limits]\nentry_ttl_ms = 500\n",
                seed_list.join(", "),
            );
            seeds.push(advertised);
            vms.push(VmPlan {
                vm,
                region: (*region).to_owned(),
                listen,
                operator_listen,
                settings,
                link,
            });
        }
    }
    Ok(vms)
}
