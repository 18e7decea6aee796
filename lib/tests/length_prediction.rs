//! Predicted lengths of answers, compared with callers' estimates that are off by half.

use rand::RngExt as _;
use rand::SeedableRng as _;
use walnuthaven_lib::answer_lengths;

const SEED: u64 = 7;
const MAX_TOKENS: u32 = 9_100;

/// Returns a normally distributed number, approximated by the sum of twelve uniform ones.
fn normal(rng: &mut rand::rngs::SmallRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

#[test]
fn predictions_are_closer_than_estimates() {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(SEED);
    let mut predictor = answer_lengths::LengthPredictor::default();
    let (mut hint_error, mut prediction_error, mut sum, mut sum_predicted) = (0.0, 0.0, 0.0, 0.0);
    for i in 0..2_000 {
        let actual = (4_900.0 * (0.5 * normal(&mut rng)).exp()).min(f64::from(MAX_TOKENS));
        let hint = (actual * (0.5 * normal(&mut rng)).exp()) as u32;
        let predicted = f64::from(predictor.predict(Some(hint), MAX_TOKENS));
        if i > 200 {
            hint_error += (f64::from(hint) - actual).abs();
            prediction_error += (predicted - actual).abs();
            sum += actual;
            sum_predicted += predicted;
        }
        predictor.record(actual as u32, Some(hint));
    }
    assert!(
        prediction_error < hint_error * 0.8,
        "{prediction_error} against {hint_error}"
    );
    assert!(
        (sum_predicted / sum - 1.0).abs() < 0.1,
        "biased: {}",
        sum_predicted / sum
    );
}

#[test]
fn without_an_estimate_the_typical_length_is_predicted() {
    let mut predictor = answer_lengths::LengthPredictor::default();
    assert!((4_000..=6_000).contains(&predictor.predict(None, MAX_TOKENS)));
    for _ in 0..300 {
        predictor.record(1_000, None);
    }
    assert!((900..=1_300).contains(&predictor.predict(None, MAX_TOKENS)));
    assert_eq!(predictor.predict(Some(50), 10), 10);
}

#[test]
fn nine_of_ten_answers_are_no_longer_than_the_longest_predicted() {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(SEED);
    let mut predictor = answer_lengths::LengthPredictor::default();
    let (mut covered, mut count) = (0, 0);
    for i in 0..4_000 {
        let actual = (2_000.0 * (0.5 * normal(&mut rng)).exp()).min(f64::from(MAX_TOKENS));
        let hint = (actual * (0.5 * normal(&mut rng)).exp()) as u32;
        let hint = rng.random_bool(0.5).then_some(hint);
        let longest = predictor.predict_longest(hint, MAX_TOKENS);
        if i > 400 {
            count += 1;
            covered += i32::from(f64::from(longest.unwrap()) >= actual);
        }
        predictor.record(actual as u32, hint);
    }
    let share = f64::from(covered) / f64::from(count);
    assert!((0.87..0.93).contains(&share), "{share}");
}

#[test]
fn nothing_is_known_of_the_first_answer_without_an_estimate() {
    let mut predictor = answer_lengths::LengthPredictor::default();
    assert_eq!(predictor.predict_longest(None, MAX_TOKENS), None);
    assert!(predictor.predict_longest(Some(500), MAX_TOKENS).is_some());
    predictor.record(1_000, None);
    assert!(predictor.predict_longest(None, MAX_TOKENS).is_some());
    assert_eq!(predictor.predict_longest(None, 10), Some(10));
}
