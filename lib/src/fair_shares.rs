//! Divides what there isn't enough of, max-min: nobody gets more than it asks for, and what some don't ask for goes to
//! the others by their weights.
//!
//! Designed for this load: one workspace asks for several times what it usually does. It gets what the others leave,
//! however many requests it sends and through however many hosts.

/// What one of those asks for among whom something is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// What it asks for.
    pub asked: f64,
    /// Its part relative to the others', if all ask for more than they get. Not negative.
    pub weight: f64,
}

/// Returns what is owed for each claim, in their order, when `total` is divided.
pub fn divide(total: f64, claims: &[Claim]) -> Vec<f64> {
    let mut owed = vec![0.0; claims.len()];
    let mut order: Vec<_> = (0..claims.len())
        .filter(|index| claims[*index].weight > 0.0)
        .collect();
    let by_weight = |index: &usize| claims[*index].asked / claims[*index].weight;
    order.sort_by(|a, b| by_weight(a).total_cmp(&by_weight(b)));
    let mut left = total.max(0.0);
    let mut weights: f64 = order.iter().map(|index| claims[*index].weight).sum();
    for index in order {
        let claim = claims[index];
        owed[index] = claim.asked.min(left * claim.weight / weights);
        left -= owed[index];
        weights -= claim.weight;
    }
    owed
}
