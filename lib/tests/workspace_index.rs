//! The workspaces of a configuration: which one a key belongs to, and what is invalid.

use walnuthaven_lib::dialect;
use walnuthaven_lib::workspaces;

fn definition(name: &str, keys: &[&str]) -> workspaces::Definition {
    workspaces::Definition {
        workspace: workspaces::Workspace {
            name: name.into(),
            priority: None,
            limit: None,
        },
        keys: keys.iter().map(ToString::to_string).collect(),
    }
}

fn limit(per_second: f64, burst: f64, unit: workspaces::Unit) -> workspaces::Limit {
    workspaces::Limit {
        per_second,
        burst,
        unit,
    }
}

#[test]
fn keys_belong_to_their_workspaces() {
    let definitions = vec![definition("a", &["k1", "k2"]), definition("b", &["k3"])];
    let known = workspaces::Workspaces::new(definitions).unwrap();
    let found = |key| known.find_by_key(key).map(|found| found.name.to_string());
    assert_eq!(found("k1").as_deref(), Some("a"));
    assert_eq!(found("k2").as_deref(), Some("a"));
    assert_eq!(found("k3").as_deref(), Some("b"));
    for key in ["", "k", "K1", "k1 ", "k11"] {
        assert_eq!(found(key), None, "{key:?}");
    }
    assert!(known.find("a").is_some() && known.find("c").is_none());
}

#[test]
fn errors_name_the_field_and_its_value() {
    let bad_limit = |per_second, burst, plain| {
        let mut bad = definition("a", &[]);
        let unit = workspaces::Unit::Tokens { plain };
        bad.workspace.limit = Some(limit(per_second, burst, unit));
        vec![bad]
    };
    let cases = [
        (vec![definition("", &[])], "name \"\""),
        (vec![definition("a b", &[])], "name \"a b\""),
        (
            vec![definition("a", &[]), definition("a", &[])],
            "name \"a\"",
        ),
        (vec![definition("a", &[""])], "key is empty"),
        (vec![definition("a", &["k", "k"])], "also one of \"a\""),
        (
            vec![definition("a", &["k"]), definition("b", &["k"])],
            "also one of \"a\"",
        ),
        (bad_limit(-1.0, 0.0, 0.0), "limit a second -1"),
        (bad_limit(f64::NAN, 0.0, 0.0), "limit a second NaN"),
        (bad_limit(1.0, -2.5, 0.0), "burst -2.5"),
        (bad_limit(1.0, 1.0, -3.0), "tokens of a plain request -3"),
    ];
    for (definitions, text) in cases {
        let error = workspaces::Workspaces::new(definitions).unwrap_err();
        assert!(error.contains(text), "{error}");
        assert!(!error.contains("\"k\""), "{error}");
    }
}

#[test]
fn cost_follows_the_unit() {
    let prompt = dialect::Prompt {
        tokens: 5_000,
        max_output: 9_100,
        output_hint: Some(70),
    };
    let tokens = limit(1.0, 1.0, workspaces::Unit::Tokens { plain: 200.0 });
    assert_eq!(tokens.cost(Some(&prompt)), 14_100.0);
    assert_eq!(tokens.cost(None), 200.0);
    let requests = limit(1.0, 1.0, workspaces::Unit::Requests);
    assert_eq!(requests.cost(Some(&prompt)), 1.0);
}

#[test]
fn weights_follow_limits() {
    let with_limit = |name, limit| {
        let mut definition = definition(name, &[]);
        definition.workspace.limit = limit;
        definition
    };
    let tokens = |per_second| {
        let unit = workspaces::Unit::Tokens { plain: 200.0 };
        Some(limit(per_second, 1.0, unit))
    };
    let weights = |definitions| {
        let known = workspaces::Workspaces::new(definitions).unwrap();
        known.weights().to_vec()
    };
    let small_and_large = vec![
        with_limit("large", tokens(400.0)),
        with_limit("small", tokens(100.0)),
        with_limit("unlimited", None),
    ];
    let expected = [("large", 1.0), ("small", 0.25), ("unlimited", 1.0)];
    let expected = expected.map(|(name, weight)| (name.into(), weight));
    assert_eq!(weights(small_and_large), expected);
    let requests = Some(limit(9.0, 1.0, workspaces::Unit::Requests));
    let incomparable = vec![with_limit("a", tokens(400.0)), with_limit("b", requests)];
    assert!(weights(incomparable).is_empty());
    assert!(weights(vec![with_limit("a", None)]).is_empty());
}
