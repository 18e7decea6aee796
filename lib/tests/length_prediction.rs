//! Predicted lengths of answers against estimates that are off by half.

use rand::RngExt as _;
use rand::SeedableRng as _;
use walnuthaven_lib::answer_lengths;

const SEED: u64 = 7;
const MOST: u32 = 9_100;

/// A normal deviate, by the sum of twelve uniform ones.
fn normal(rng: &mut rand::rngs::SmallRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

#[test]
fn predictions_are_nearer_than_estimates() {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(SEED);
    let mut lengths = answer_lengths::LengthPredictor::default();
    let (mut off_hint, mut off_prediction, mut sum, mut sum_predicted) = (0.0, 0.0, 0.0, 0.0);
    for i in 0..2_000 {
        let actual = (4_900.0 * (0.5 * normal(&mut rng)).exp()).min(f64::from(MOST));
        let hint = (actual * (0.5 * normal(&mut rng)).exp()) as u32;
        let predicted = f64::from(lengths.predict(Some(hint), MOST));
        if i > 200 {
            off_hint += (f64::from(hint) - actual).abs();
            off_prediction += (predicted - actual).abs();
            sum += actual;
            sum_predicted += predicted;
        }
        lengths.record(actual as u32, Some(hint));
    }
    assert!(
        off_prediction < off_hint * 0.8,
        "{off_prediction} against {off_hint}"
    );
    assert!(
        (sum_predicted / sum - 1.0).abs() < 0.1,
        "biased: {}",
        sum_predicted / sum
    );
}

#[test]
fn without_an_estimate_the_typical_length_counts() {
    let mut lengths = answer_lengths::LengthPredictor::default();
    assert!((4_000..=6_000).contains(&lengths.predict(None, MOST)));
    for _ in 0..300 {
        lengths.record(1_000, None);
    }
    assert!((900..=1_300).contains(&lengths.predict(None, MOST)));
    assert_eq!(lengths.predict(Some(50), 10), 10);
}
