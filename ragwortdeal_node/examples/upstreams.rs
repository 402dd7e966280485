//! Stand-ins for the outside systems on fixed loopback ports, to run the programs by hand against.
//!
//! An origin on 8000 with one version, an engine on 8001 and a ledger on 8002. It prints the
//! version to register.

use std::net;

use ragwortdeal_standins::{engine, origin, service};

/// Rate of the origin's link.
const ORIGIN_BYTES_PER_S: u64 = 16 << 20;

fn at(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let weights = origin::Weights::of_seed(1, 8 << 20, 256 << 10);
    let origin = origin::Origin::start_at(at(8000), ORIGIN_BYTES_PER_S).await?;
    origin.offer(&weights);
    let engine = engine::Engine::start_at(at(8001), engine::Behaviour::default()).await?;
    let ledger = std::sync::Arc::new(service::Ledger::default());
    let behaviour = service::Behaviour::default();
    let service = service::Service::start_at(at(8002), ledger.clone(), behaviour).await?;
    println!("version {} size_bytes {}", weights.version(), weights.manifest.size_bytes());
    tokio::signal::ctrl_c().await?;
    println!("engine finished {} requests", engine.finished());
    println!("ledger took {} operations, {} twice", ledger.effects().len(), ledger.duplicates());
    drop((origin, engine, service));
    Ok(())
}
