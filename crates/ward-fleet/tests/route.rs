//! Route lookup in a manifest.

mod support;

use googletest::prelude::*;
use support::{manifest, name, route};
use ward_fleet::{RouteTarget, ServingManifest};

fn with_routes(prefixes: &[&str]) -> ServingManifest {
    let mut manifest = manifest(&[]);
    manifest.routes = prefixes.iter().map(|prefix| route(prefix)).collect();
    manifest
}

#[gtest]
fn find_route_longest_prefix_wins() {
    let manifest = with_routes(&["/a/", "/a/b/", "/"]);
    let found = manifest.find_route("shop.example", "/a/b/c");
    expect_that!(found.map(|route| route.prefix.as_str()), some(eq("/a/b/")));
}

#[gtest]
fn find_route_other_host_has_none() {
    let manifest = with_routes(&["/"]);
    expect_that!(manifest.find_route("other.example", "/a/"), none());
}

#[gtest]
fn find_route_prefix_without_its_slash_does_not_match() {
    let manifest = with_routes(&["/a/"]);
    expect_that!(manifest.find_route("shop.example", "/a"), none());
    expect_that!(manifest.find_route("shop.example", "/ab/"), none());
}

#[gtest]
fn pick_service_follows_weights() {
    let mut route = route("/a/");
    route.targets = vec![
        RouteTarget {
            service: name("old"),
            weight: 90.0,
        },
        RouteTarget {
            service: name("new"),
            weight: 10.0,
        },
    ];
    expect_that!(route.pick_service(0.0).as_str(), eq("old"));
    expect_that!(route.pick_service(0.89).as_str(), eq("old"));
    expect_that!(route.pick_service(0.91).as_str(), eq("new"));
    expect_that!(route.pick_service(0.999_999).as_str(), eq("new"));
}

#[gtest]
fn pick_service_weight_zero_gets_no_requests() {
    let mut route = route("/a/");
    route.targets = vec![
        RouteTarget {
            service: name("old"),
            weight: 0.0,
        },
        RouteTarget {
            service: name("new"),
            weight: 1.0,
        },
    ];
    expect_that!(route.pick_service(0.0).as_str(), eq("new"));
}
