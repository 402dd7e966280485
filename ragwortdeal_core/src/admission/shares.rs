//! Weighted max-min fair shares.

/// What one account wants of a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRequest {
    /// Weight of the account.
    pub weight: u32,
    /// Calls that it has in flight or waiting.
    pub wanted: f64,
}

/// Shares out a capacity: none gets more than it wants, and what some leave is split among the
/// others by weight. The shares stand in the order of the claims.
pub fn max_min_shares<'c>(
    capacity: f64,
    claims: impl Iterator<Item = &'c ShareRequest>,
) -> Vec<f64> {
    let claims: Vec<ShareRequest> = claims.copied().collect();
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let want = |index: usize| claims[index].wanted / f64::from(claims[index].weight.max(1));
    order.sort_by(|&left, &right| want(left).total_cmp(&want(right)));
    let mut left = capacity.max(0.0);
    let mut weights: u64 = claims.iter().map(|claim| u64::from(claim.weight.max(1))).sum();
    let mut shares = vec![0.0; claims.len()];
    for index in order {
        let weight = u64::from(claims[index].weight.max(1));
        let fair = left * weight as f64 / weights as f64;
        shares[index] = fair.min(claims[index].wanted);
        left -= shares[index];
        weights -= weight;
    }
    shares
}
