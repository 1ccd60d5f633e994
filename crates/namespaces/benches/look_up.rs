//! What a look-up costs with one namespace, and with ten thousand.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use shelfgrade_namespaces::rules::{Grant, Grants, Part, Rule, Space};
use shelfgrade_namespaces::table::{Found, Table};
use std::hint::black_box;

fn table(spaces: usize) -> Table {
    let name = |i: usize| format!("customer-{i}");
    let mut table = Table::default();
    let grant = |i| Grant { customer: name(i), part: Part::default(), room: 10 };
    table.grant(Grants { version: 1, others: 10, grants: (0..spaces).map(grant).collect() }).expect("grants");
    for i in 0..spaces {
        let rule = |r: usize| Rule {
            name: format!("r{r}"),
            offerings: vec![format!("offering-{r}")],
            groups: Vec::new(),
            to: Part::default(),
            room: None,
        };
        table
            .put(Space { customer: name(i), version: 1, rules: (0..8).map(rule).collect() })
            .expect("a namespace");
    }
    table
}

fn look_up(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("look_up");
    for spaces in [1, 100, 10_000] {
        let mut table = table(spaces);
        let customer = format!("customer-{}", spaces / 2);
        group.bench_with_input(BenchmarkId::from_parameter(spaces), &spaces, |bench, _| {
            bench.iter(|| {
                let found = table.look_up(Some(black_box(&customer)), black_box("offering-7"), None);
                assert!(matches!(found, Found::Rule(_)));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, look_up);
criterion_main!(benches);
