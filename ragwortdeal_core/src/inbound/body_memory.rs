//! Shares the memory for bodies of requests between all that are read or held at once.
//!
//! The load that this answers: many large bodies at once, most of which stop short of their end. A
//! body takes its announced length before it is read, so that one which is let in never waits for
//! others; one without a length takes more in steps. A client holds at most as much as is left free,
//! so that there is always room for another client. Small bodies have a part that large ones cannot
//! take. Bodies that stand still give way to others.

use std::{cmp, collections, fmt, hash};

/// Part of the memory that only small bodies take.
const SMALL_PART: usize = 8;

/// Largest body that counts as small.
pub const SMALL_MAX_BYTES: usize = 16 << 10;

/// Least memory that a body counts for: its buffers and its place in the tables.
const EACH_MIN_BYTES: usize = 1 << 10;

/// Bytes that show progress. A client could send single bytes for ever.
const PROGRESS_BYTES: usize = 4 << 10;

/// Number of a body.
pub type BodyId = u64;

/// Why a body gets no memory: others hold too much, or its own client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// Memory was given. These bodies were given up for it, and their readers are to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granted {
    /// The body that holds the memory.
    pub id: BodyId,
    /// Bodies that stood still.
    pub given_up: Vec<BodyId>,
}

/// The part of the memory that a body is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Pool {
    Small,
    Common,
}

#[derive(Clone, Debug)]
struct Body<C> {
    client: C,
    pool: Pool,
    bytes: usize,
    arrived_bytes: usize,
    /// When it last made progress, none once it is whole.
    progress_ms: Option<u64>,
    /// Progress counts from so many arrived bytes on.
    next_progress_bytes: usize,
}

/// Memory for bodies in bytes, shared between clients.
#[derive(Clone, Debug)]
pub struct BodyMemory<C> {
    small_bytes: usize,
    common_bytes: usize,
    stalled_ms: u64,
    next_id: BodyId,
    bodies: collections::BTreeMap<BodyId, Body<C>>,
    held_bytes: collections::BTreeMap<Pool, usize>,
    clients_bytes: collections::HashMap<(C, Pool), usize>,
}

impl<C: Clone + Eq + hash::Hash + fmt::Debug> BodyMemory<C> {
    /// Memory of which nothing is held. A body that made no progress for `stalled_ms` gives way.
    pub fn new(total_bytes: usize, stalled_ms: u64) -> Self {
        let small_bytes = total_bytes / SMALL_PART;
        Self {
            small_bytes,
            common_bytes: total_bytes - small_bytes,
            stalled_ms,
            next_id: 0,
            bodies: collections::BTreeMap::new(),
            held_bytes: collections::BTreeMap::new(),
            clients_bytes: collections::HashMap::new(),
        }
    }

    /// Gives memory to a body that begins to be read.
    pub fn begin(&mut self, client: C, bytes: usize, now_ms: u64) -> Result<Granted, NoRoom> {
        let bytes = bytes.max(EACH_MIN_BYTES);
        let mut result = Err(NoRoom);
        for pool in pools(bytes) {
            result = self.make_room(&client, pool, bytes, None, now_ms).map(|it| (pool, it));
            if result.is_ok() {
                break;
            }
        }
        let (pool, given_up) = result?;
        let id = self.next_id;
        self.next_id += 1;
        let body = Body {
            client,
            pool,
            bytes: 0,
            arrived_bytes: 0,
            progress_ms: Some(now_ms),
            next_progress_bytes: PROGRESS_BYTES,
        };
        self.bodies.insert(id, body);
        self.hold(id, pool, bytes);
        Ok(Granted { id, given_up })
    }

    /// Gives a body without an announced length as much as it needs to hold so many bytes. What it
    /// holds already is kept where there is no room.
    pub fn grow(&mut self, id: BodyId, bytes: usize, now_ms: u64) -> Result<Granted, NoRoom> {
        let body = self.bodies.get(&id).ok_or(NoRoom)?;
        if bytes <= body.bytes {
            return Ok(Granted { id, given_up: Vec::new() });
        }
        let client = body.client.clone();
        let given_up = self.make_room(&client, Pool::Common, bytes, Some(id), now_ms)?;
        self.give_back(id);
        self.hold(id, Pool::Common, bytes);
        Ok(Granted { id, given_up })
    }

    /// Records how many bytes of a body have arrived.
    pub fn record_arrived(&mut self, id: BodyId, arrived_bytes: usize, now_ms: u64) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.arrived_bytes = arrived_bytes;
        if arrived_bytes >= body.next_progress_bytes {
            body.next_progress_bytes = arrived_bytes + PROGRESS_BYTES;
            body.progress_ms = Some(now_ms);
        }
    }

    /// Records that a body is whole. It gives way to none from now on.
    pub fn record_whole(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.progress_ms = None;
        }
    }

    /// Takes back the memory of a body that nobody needs any more.
    pub fn release(&mut self, id: BodyId) {
        self.give_back(id);
        self.bodies.remove(&id);
    }

    /// Largest body that finds room where nothing else is held.
    pub fn each_max_bytes(&self) -> usize {
        self.common_bytes
    }

    /// Bytes that all bodies hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.values().sum()
    }

    /// Bodies that are read or held.
    pub fn count(&self) -> usize {
        self.bodies.len()
    }

    /// The client that holds most, and its bytes.
    pub fn largest_client(&self) -> Option<(C, usize)> {
        let mut sums = collections::HashMap::<&C, usize>::new();
        for ((client, _), bytes) in &self.clients_bytes {
            *sums.entry(client).or_default() += bytes;
        }
        sums.into_iter().max_by_key(|(_, bytes)| *bytes).map(|(it, bytes)| (it.clone(), bytes))
    }

    fn total_bytes(&self, pool: Pool) -> usize {
        match pool {
            Pool::Small => self.small_bytes,
            Pool::Common => self.common_bytes,
        }
    }

    /// Makes room for so many bytes of a client, of which `own` holds some already. Gives up no body
    /// unless that is enough.
    fn make_room(
        &mut self,
        client: &C,
        pool: Pool,
        bytes: usize,
        own: Option<BodyId>,
        now_ms: u64,
    ) -> Result<Vec<BodyId>, NoRoom> {
        let own_bytes = own.and_then(|id| self.bodies.get(&id)).filter(|it| it.pool == pool);
        let own_bytes = own_bytes.map_or(0, |body| body.bytes);
        let held_bytes = self.held_bytes.get(&pool).copied().unwrap_or(0) - own_bytes;
        let client_bytes = self.clients_bytes.get(&(client.clone(), pool)).copied().unwrap_or(0);
        let mut free_bytes = self.total_bytes(pool).saturating_sub(held_bytes);
        let mut after_bytes = client_bytes - own_bytes + bytes;
        let mut given_up = Vec::new();
        // The client's other bodies count as taken from what is free.
        let fits = |after_bytes: usize, free_bytes: usize| {
            after_bytes <= free_bytes && bytes <= free_bytes
        };
        if !fits(after_bytes, free_bytes) {
            for id in self.stalled(pool, own, now_ms) {
                let body = &self.bodies[&id];
                free_bytes += body.bytes;
                if body.client == *client {
                    after_bytes -= body.bytes;
                }
                given_up.push(id);
                if fits(after_bytes, free_bytes) {
                    break;
                }
            }
        }
        if !fits(after_bytes, free_bytes) {
            return Err(NoRoom);
        }
        given_up.iter().for_each(|id| self.release(*id));
        Ok(given_up)
    }

    /// Bodies that stand still, the longest first.
    fn stalled(&self, pool: Pool, except: Option<BodyId>, now_ms: u64) -> Vec<BodyId> {
        let since = |body: &Body<C>| body.progress_ms.filter(|_| body.pool == pool);
        let mut stalled: Vec<(u64, cmp::Reverse<usize>, BodyId)> = self
            .bodies
            .iter()
            .filter(|(id, _)| Some(**id) != except)
            .filter_map(|(id, body)| Some((since(body)?, cmp::Reverse(body.bytes), *id)))
            .filter(|(since_ms, ..)| now_ms.saturating_sub(*since_ms) >= self.stalled_ms)
            .collect();
        stalled.sort_unstable();
        stalled.into_iter().map(|(_, _, id)| id).collect()
    }

    fn hold(&mut self, id: BodyId, pool: Pool, bytes: usize) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.pool = pool;
        body.bytes = bytes;
        *self.held_bytes.entry(pool).or_default() += bytes;
        *self.clients_bytes.entry((body.client.clone(), pool)).or_default() += bytes;
    }

    fn give_back(&mut self, id: BodyId) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        let bytes = std::mem::take(&mut body.bytes);
        let key = (body.client.clone(), body.pool);
        *self.held_bytes.entry(body.pool).or_default() -= bytes;
        if let collections::hash_map::Entry::Occupied(mut held) = self.clients_bytes.entry(key) {
            *held.get_mut() -= bytes;
            if *held.get() == 0 {
                held.remove();
            }
        }
    }
}

/// The parts of the memory in which a body of so many bytes may be.
fn pools(bytes: usize) -> impl Iterator<Item = Pool> {
    let small = (bytes <= SMALL_MAX_BYTES).then_some(Pool::Small);
    small.into_iter().chain([Pool::Common])
}
