//! Which `Authorization` headers are accepted.

use googletest::prelude::*;
use ward_operator::TokenDigest;

#[googletest::test]
fn token_allows_any_case_of_scheme() {
    let token = TokenDigest::from_token("a-token-of-operators");
    for header in ["Bearer a-token-of-operators", "bearer a-token-of-operators"] {
        expect_that!(token.allows(Some(header)), eq(true), "{header}");
    }
}

#[googletest::test]
fn token_rejects_other_headers() {
    let token = TokenDigest::from_token("a-token-of-operators");
    for header in [
        "",
        "Bearer",
        "Bearer ",
        "a-token-of-operators",
        "Basic a-token-of-operators",
        "Bearer  a-token-of-operators",
        "Bearer a-token-of-operators ",
        "Bearer A-token-of-operators",
    ] {
        expect_that!(token.allows(Some(header)), eq(false), "{header:?}");
    }
    expect_that!(token.allows(None), eq(false));
}
