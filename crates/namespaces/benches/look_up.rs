//! Measures the time of a look-up with 1, 100 and 10,000 namespaces.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use shelfgrade_namespaces::grants::{Grant, Grants};
use shelfgrade_namespaces::rules::{Namespace, Rule};
use shelfgrade_namespaces::selector::ServerSelector;
use shelfgrade_namespaces::table::{Lookup, NamespaceTable};
use std::hint::black_box;

fn table_of(namespaces: usize) -> NamespaceTable {
    let name = |i: usize| format!("customer-{i}");
    let mut table = NamespaceTable::default();
    let grant = |i| Grant { customer: name(i), servers: ServerSelector::default(), max_connections: 10 };
    table
        .apply_grants(Grants {
            version: 1,
            default_max_connections: 10,
            grants: (0..namespaces).map(grant).collect(),
        })
        .expect("valid grants");
    for i in 0..namespaces {
        let rule = |r: usize| Rule {
            name: format!("r{r}"),
            classes: vec![format!("class-{r}")],
            groups: Vec::new(),
            servers: ServerSelector::default(),
            max_connections: None,
        };
        table
            .insert(Namespace { customer: name(i), version: 1, rules: (0..8).map(rule).collect() })
            .expect("a valid namespace");
    }
    table
}

fn look_up(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("look_up");
    for namespaces in [1, 100, 10_000] {
        let mut table = table_of(namespaces);
        let customer = format!("customer-{}", namespaces / 2);
        group.bench_with_input(BenchmarkId::from_parameter(namespaces), &namespaces, |bench, _| {
            bench.iter(|| {
                let found = table.look_up(Some(black_box(&customer)), black_box("class-7"), None);
                assert!(matches!(found, Lookup::Matched(_)));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, look_up);
criterion_main!(benches);
