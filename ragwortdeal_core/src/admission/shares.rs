//! Weighted max-min fair shares.

/// Demand of one account for a share of a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRequest {
    /// Weight of the account.
    pub weight: u32,
    /// Its calls in flight or waiting.
    pub wanted: f64,
}

/// Divides a capacity: no account gets more than its demand, and what some leave unused is divided
/// among the others by weight. The shares are in the order of the requests.
pub fn max_min_shares<'r>(
    capacity: f64,
    requests: impl Iterator<Item = &'r ShareRequest>,
) -> Vec<f64> {
    let requests: Vec<ShareRequest> = requests.copied().collect();
    let mut order: Vec<usize> = (0..requests.len()).collect();
    let level = |index: usize| requests[index].wanted / f64::from(requests[index].weight.max(1));
    order.sort_by(|&left, &right| level(left).total_cmp(&level(right)));
    let mut remaining = capacity.max(0.0);
    let mut weights: u64 = requests.iter().map(|request| u64::from(request.weight.max(1))).sum();
    let mut shares = vec![0.0; requests.len()];
    for index in order {
        let weight = u64::from(requests[index].weight.max(1));
        let fair = remaining * weight as f64 / weights as f64;
        shares[index] = fair.min(requests[index].wanted);
        remaining -= shares[index];
        weights -= weight;
    }
    shares
}
