//! A greedy planner with full knowledge, as a reference for the policy: in each round it assigns
//! the transfers of the origin and of every machine one by one, the rarest chunk first.

use super::model;

/// Time until every instance holds every chunk, in rounds of one chunk on a machine's link.
pub fn time_ms(setup: &model::Setup) -> f64 {
    let chunks = setup.chunks as usize;
    let per_round = (setup.chunk_ms as f64 / setup.origin_chunk_ms()) as usize;
    let mut held = vec![vec![false; chunks]; setup.instances];
    let mut fetched = 0;
    let mut rounds = 0;
    while held.iter().flatten().any(|held| !held) {
        let before = held.clone();
        let mut receives = vec![false; setup.instances];
        for _ in 0..per_round {
            // The origin serves instances in rotation, so that all have chunks to exchange.
            let mut instances =
                (0..setup.instances).map(|offset| (fetched + offset) % setup.instances);
            let free = instances.find(|&index| !receives[index]);
            if let Some(to) = free.filter(|_| fetched < chunks) {
                held[to][fetched] = true;
                receives[to] = true;
                fetched += 1;
            }
        }
        exchange(&before, &mut held, &mut receives);
        rounds += 1;
    }
    f64::from(rounds) * setup.chunk_ms as f64
}

fn exchange(before: &[Vec<bool>], held: &mut [Vec<bool>], receives: &mut [bool]) {
    let chunks = before[0].len();
    let count = |chunk: usize| before.iter().filter(|held| held[chunk]).count();
    let mut order: Vec<_> = (0..chunks).filter(|&chunk| count(chunk) > 0).collect();
    order.sort_by_key(|&chunk| count(chunk));
    for sender in before {
        let wanted = order.iter().find_map(|&chunk| {
            let lacks = |to: &usize| !receives[*to] && !held[*to][chunk];
            let to = sender[chunk].then(|| (0..held.len()).find(lacks)).flatten()?;
            Some((chunk, to))
        });
        if let Some((chunk, to)) = wanted {
            held[to][chunk] = true;
            receives[to] = true;
        }
    }
}
