//! A naive planner with full knowledge, for the differential test: in each round it assigns the
//! origin's and every machine's transfers one by one, the rarest chunk first.

use super::model;

/// Time until every instance holds every chunk, in rounds of one chunk on a machine's link.
pub fn time_ms(setup: &model::Setup) -> f64 {
    let chunks = setup.chunks as usize;
    let per_round = (setup.chunk_ms as f64 / setup.origin_chunk_ms()) as usize;
    let mut held = vec![vec![false; chunks]; setup.instances];
    let mut drawn = 0;
    let mut rounds = 0;
    while held.iter().flatten().any(|held| !held) {
        let before = held.clone();
        let mut receives = vec![false; setup.instances];
        for _ in 0..per_round {
            // The origin's chunks go round, so that all have something to exchange.
            let mut places = (0..setup.instances).map(|offset| (drawn + offset) % setup.instances);
            let free = places.find(|&index| !receives[index]);
            if let Some(to) = free.filter(|_| drawn < chunks) {
                held[to][drawn] = true;
                receives[to] = true;
                drawn += 1;
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
