//! Keeps shares and routes up to date: timers, and what entries tell each other of their demand.

use std::{sync, time};

use ragwortdeal_core::{admission::peers, config, name};
use ragwortdeal_wire::link as wire;
use tokio::sync::mpsc;

use super::super::Entry;
use crate::link;

/// How often shares are worked out anew and those who waited too long are told.
const TICK: time::Duration = time::Duration::from_millis(20);

/// How often the router looks at the members.
const SYNC: time::Duration = time::Duration::from_millis(200);

/// How often entries tell each other their demand.
const TELL: time::Duration = time::Duration::from_millis(500);

/// Most targets in one message, so that a broken peer cannot make this entry hold more.
const TARGETS_MAX: usize = 1_024;

/// Demand at one entry, by model or service.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
struct Demands {
    by_target: Vec<(config::object::ObjectKey, peers::Summary)>,
}

/// Works the shares out anew again and again.
pub(in super::super) async fn keep_time(entry: sync::Arc<Entry>) {
    let mut ticks = tokio::time::interval(TICK);
    let mut syncs = tokio::time::interval(SYNC);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    syncs.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => entry.tick(),
            _ = syncs.tick() => entry.sync_traffic(),
        }
    }
}

/// Tells another entry the demand here.
pub(in super::super) async fn tell(entry: sync::Arc<Entry>, address: String) {
    let (sender, mut events) = mpsc::channel(8);
    let (hello, limits) = (entry.identity.hello("entry"), link::LinkLimits::default());
    let link = link::open(&address, entry.credential.clone(), hello, limits, sender);
    let mut tells = tokio::time::interval(TELL);
    loop {
        tokio::select! {
            event = events.recv() => if event.is_none() { return },
            _ = tells.tick() => {
                let message = wire::Message::Demand(entry.demand());
                // A lost one is made good by the next.
                if let Err(error) = link.push("tell demand", message) {
                    log::debug!("entry: {error}");
                }
            }
        }
    }
}

impl Entry {
    fn tick(&self) {
        let now_ms = self.clock.now_ms();
        let mut traffic = self.traffic.lock().expect("no panic under lock");
        for gate in traffic.admissions.values_mut() {
            gate.tick(now_ms);
        }
    }

    /// Brings routing up to date with the members and the configuration.
    pub(super) fn sync_traffic(&self) {
        let now_ms = self.clock.now_ms();
        let config = self.config.borrow();
        let members = self.members.lock().expect("no panic under lock");
        let mut traffic = self.traffic.lock().expect("no panic under lock");
        traffic.sync(&members, &config, now_ms);
    }

    /// Lets routing know at once what one upstream announced.
    pub(in super::super) fn noticed(&self, instance: &str) {
        let now_ms = self.clock.now_ms();
        let config = self.config.borrow();
        let members = self.members.lock().expect("no panic under lock");
        let Ok(instance) = name::InstanceName::new(instance) else { return };
        let Some(member) = members.get(&instance) else { return };
        let mut traffic = self.traffic.lock().expect("no panic under lock");
        traffic.noticed(&instance, &member.announcement, &config, now_ms);
    }

    fn demand(&self) -> wire::Demand {
        let traffic = self.traffic.lock().expect("no panic under lock");
        let by_target = traffic.admissions.iter();
        let by_target = by_target.map(|(key, gate)| (key.clone(), gate.admission.summary()));
        let demands = Demands { by_target: by_target.take(TARGETS_MAX).collect() };
        let mut payload = Vec::new();
        ciborium::into_writer(&demands, &mut payload).expect("own types encode into memory");
        wire::Demand { payload: payload.into() }
    }

    /// Takes in what another entry told.
    pub(in super::super) fn learn_demand(&self, from: &str, demand: &wire::Demand) {
        let decoded = ciborium::from_reader::<Demands, _>(&demand.payload[..]);
        let (Ok(demands), Ok(from)) = (decoded, name::InstanceName::new(from)) else {
            log::warn!("entry: unreadable demand from {from}");
            return;
        };
        let now_ms = self.clock.now_ms();
        let mut traffic = self.traffic.lock().expect("no panic under lock");
        for (target, summary) in demands.by_target.into_iter().take(TARGETS_MAX) {
            traffic.gate(&target, now_ms).admission.update_peer(&from, summary, now_ms);
        }
    }
}
