//! The division of an amount among claims.

use walnuthaven_lib::fair_shares;

#[test]
fn weighted_claims() {
    let claim = |asked, weight| fair_shares::Claim { asked, weight };
    let claims = [claim(7.5, 1.0), claim(1.0, 1.0), claim(2.0, 1.0)];
    assert_eq!(fair_shares::divide(6.0, &claims), [3.0, 1.0, 2.0]);
    assert_eq!(fair_shares::divide(20.0, &claims), [7.5, 1.0, 2.0]);
    let claims = [claim(9.0, 2.0), claim(9.0, 1.0), claim(0.0, 1.0)];
    assert_eq!(fair_shares::divide(6.0, &claims), [4.0, 2.0, 0.0]);
}
