//! Real links over loopback sockets that only carry their heartbeats, and what travels on the links
//! of the programs as they run today.

use std::{
    sync::{self, atomic},
    time,
};

use ragwortdeal_core::{
    config::{delta, state},
    membership,
};
use ragwortdeal_node::{lease, link, stop, voter};
use ragwortdeal_wire::link as wire;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net,
    sync::mpsc,
};

use crate::{fit, meter, trees};

/// Time over which the links' processor time is taken.
const MEASURE: time::Duration = time::Duration::from_secs(3);

/// IPv4 and TCP with timestamps round each read, which is about one segment.
const SEGMENT_OVERHEAD_BYTES: u64 = 52;

struct Nothing;

impl link::Service for Nothing {
    fn opened(&self, _session: &link::Session) {}

    fn pushed(&self, _session: &link::Session, _message: wire::Message) {}

    async fn requested(&self, _session: &link::Session, _message: wire::Message) -> wire::Message {
        link::refused("capacity", "nothing is served here")
    }

    fn closed(&self, _session: &link::Session) {}
}

/// Memory in KiB and processor time in percent of a core of one end of so many idle links.
pub fn idle(counts: &[usize]) -> std::io::Result<(Vec<fit::Point>, Vec<fit::Point>)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let credential = link::Credential::new("secret-between-the-processes");
        let (_stopper, stop) = stop::pair();
        let limits = link::LinkLimits::default();
        let service = sync::Arc::new(Nothing);
        tokio::spawn(link::serve(listener, credential.clone(), limits, service, stop));
        let before = meter::resident_bytes();
        let mut open = Vec::new();
        let (mut memory, mut cpu) = (Vec::new(), Vec::new());
        for &count in counts {
            while open.len() < count {
                let (sender, receiver) = mpsc::channel(16);
                let hello = hello(open.len());
                let opened = link::open(&address, credential.clone(), hello, limits, sender);
                open.push((opened, receiver));
                tokio::time::sleep(time::Duration::from_millis(2)).await;
            }
            tokio::time::sleep(time::Duration::from_millis(500)).await;
            assert!(open.iter().all(|(link, _)| link.is_up()), "all links are open");
            let started_ns = meter::thread_cpu_ns();
            tokio::time::sleep(MEASURE).await;
            let cpu_ns = (meter::thread_cpu_ns() - started_ns) as f64;
            let held = (meter::resident_bytes() - before) as f64;
            // Both ends of each link live in this process.
            memory.push((count as f64, held / 2.0 / 1024.0));
            cpu.push((count as f64, cpu_ns / MEASURE.as_nanos() as f64 * 100.0 / 2.0));
        }
        Ok((memory, cpu))
    })
}

/// Bytes that so many idle links send in one direction in a second, with the network's headers.
pub fn heartbeats(counts: &[usize]) -> std::io::Result<Vec<fit::Point>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let server = net::TcpListener::bind("127.0.0.1:0").await?;
        let forwarder = net::TcpListener::bind("127.0.0.1:0").await?;
        let (near, far) = (forwarder.local_addr()?.to_string(), server.local_addr()?);
        let credential = link::Credential::new("secret-between-the-processes");
        let (_stopper, stop) = stop::pair();
        let limits = link::LinkLimits::default();
        tokio::spawn(link::serve(
            server,
            credential.clone(),
            limits,
            sync::Arc::new(Nothing),
            stop,
        ));
        let counted = sync::Arc::new(atomic::AtomicU64::new(0));
        tokio::spawn(forward(forwarder, far, counted.clone()));
        let (mut open, mut points) = (Vec::new(), Vec::new());
        for &count in counts {
            while open.len() < count {
                let (sender, receiver) = mpsc::channel(16);
                let hello = hello(open.len());
                open.push((link::open(&near, credential.clone(), hello, limits, sender), receiver));
            }
            tokio::time::sleep(time::Duration::from_secs(1)).await;
            let before = counted.load(atomic::Ordering::Relaxed);
            tokio::time::sleep(MEASURE).await;
            let bytes = counted.load(atomic::Ordering::Relaxed) - before;
            points.push((count as f64, bytes as f64 / MEASURE.as_secs_f64()));
        }
        Ok(points)
    })
}

/// Passes connections on and counts what their openers send.
async fn forward(
    listener: net::TcpListener,
    to: std::net::SocketAddr,
    counted: sync::Arc<atomic::AtomicU64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = net::TcpStream::connect(to).await else { return };
        let (mut near_read, mut near_write) = near.into_split();
        let (mut far_read, mut far_write) = far.into_split();
        let counted = counted.clone();
        tokio::spawn(async move {
            let mut bytes = [0; 4096];
            while let Ok(length @ 1..) = near_read.read(&mut bytes).await {
                let sent = length as u64 + SEGMENT_OVERHEAD_BYTES;
                counted.fetch_add(sent, atomic::Ordering::Relaxed);
                if far_write.write_all(&bytes[..length]).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(async move { tokio::io::copy(&mut far_read, &mut near_write).await });
    }
}

fn hello(number: usize) -> wire::Hello {
    wire::Hello {
        name: format!("agent-{number:05}"),
        zone: "zone-00".to_owned(),
        role: "agent".to_owned(),
        incarnation: 1_764_000_000_000_000,
    }
}

fn framed_bytes(message: wire::Message) -> u64 {
    let frame = wire::Frame { request: None, answer: false, traceparent: None, message };
    meter::encode(&frame).len() as u64
}

/// Bytes a second that an entry receives today from so many agents, which all announce to it and
/// renew their leases twice a second.
pub fn announcements_today(counts: &[usize]) -> Vec<fit::Point> {
    let bytes = |number: usize| {
        let hello = hello(number);
        let announcement = wire::Announcement {
            applied_revision: 8_000_000,
            behind: None,
            call_address: format!("10.0.{}.{}:7300", number / 256, number % 256),
            from_here: 12,
            holds: None,
            incarnation: hello.incarnation,
            instance: hello.name,
            kind: wire::AnnouncementKind::Engine,
            leaving: false,
            origin_bytes: 3 << 30,
            peer_bytes: 30 << 30,
            phase: "serving".to_owned(),
            queued: 3,
            region: "region-0".to_owned(),
            region_bytes: 1 << 30,
            report_age_ms: 350,
            running: 40,
            sequence: 100_000,
            serving: Some("0".repeat(64)),
            size_bytes: 30 << 30,
            slots: 64,
            staged_bytes: 30 << 30,
            target: "match-proposals".to_owned(),
            zone: hello.zone,
        };
        let stamp = membership::Stamp { incarnation: announcement.incarnation, at_ms: 1_000_000 };
        let incarnation = announcement.incarnation;
        let renewal = lease::message(&lease::Renewal { incarnation, echo: Some(stamp) });
        framed_bytes(wire::Message::Announce(announcement))
            + framed_bytes(renewal)
            + 2 * meter::MESSAGE_OVERHEAD_BYTES
    };
    let total = |count: usize| 2 * (0..count).map(bytes).sum::<u64>();
    counts.iter().map(|count| (*count as f64, total(*count) as f64)).collect()
}

/// Bytes that a voter sends today for one change to so many receivers, each on a link of its own.
pub fn pushes_today(counts: &[usize]) -> Vec<fit::Point> {
    let mut config = state::State::default();
    for number in 0..100 {
        config.apply(&trees::change(number, 50));
    }
    let update: delta::Update = config.update_since(99).expect("one change");
    let bytes = framed_bytes(voter::config_update(&update)) + meter::MESSAGE_OVERHEAD_BYTES;
    counts.iter().map(|count| (*count as f64, (bytes * *count as u64) as f64)).collect()
}
