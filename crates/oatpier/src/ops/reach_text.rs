//! The figures of reachability, as text.

use oatpier_types::config::capacity::{CapacityReport, PackResult, PoolCapacity};

use crate::shell::table;

/// Names without a place that are shown.
const SHOWN_NAMES: usize = 5;

/// What is short, a line for each pool where something is.
#[must_use]
pub fn shortages(report: &CapacityReport) -> String {
    let short = report.pools.iter().filter(|pool| !pool.fits());
    short.map(shortage).collect::<Vec<_>>().join("\n")
}

fn shortage(pool: &PoolCapacity) -> String {
    let there = format!(
        "pool `{}`: {} endpoints of {} MiB hold {} MiB",
        pool.pool, pool.endpoints, pool.endpoint_mib, pool.total_mib
    );
    if pool.steady.short_mib > 0 {
        return format!(
            "{there}, its models and adapters take {} MiB: {} MiB find no place ({})",
            pool.weights_mib,
            pool.steady.short_mib,
            some_names(&pool.steady)
        );
    }
    format!(
        "{there}, its models and adapters take {} MiB; changing the version of `{}` takes {} \
         MiB besides: {} MiB find no place",
        pool.weights_mib, pool.largest, pool.change_mib, pool.changing.short_mib
    )
}

fn some_names(result: &PackResult) -> String {
    let shown = result.unplaced.iter().take(SHOWN_NAMES);
    let shown = shown.map(String::as_str).collect::<Vec<_>>().join(", ");
    match result.unplaced.len().saturating_sub(SHOWN_NAMES) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}

/// The figures of all pools.
#[must_use]
pub fn figures(report: &CapacityReport) -> String {
    let rows = report.pools.iter().map(|pool| {
        vec![
            pool.pool.to_string(),
            pool.endpoints.to_string(),
            pool.total_mib.to_string(),
            pool.weights_mib.to_string(),
            pool.change_mib.to_string(),
            pool.steady.used.to_string(),
            if pool.fits() { "yes" } else { "no" }.to_owned(),
        ]
    });
    let head = [
        "POOL",
        "ENDPOINTS",
        "MEMORY MIB",
        "WEIGHTS MIB",
        "CHANGE MIB",
        "NEEDED ENDPOINTS",
        "FITS",
    ];
    table(&head, &rows.collect::<Vec<_>>())
}

/// What would be short with an availability zone away, a line each.
#[must_use]
pub fn zone_warnings(report: &CapacityReport) -> Vec<String> {
    let pools = report.pools.iter();
    let rows = pools.flat_map(|pool| pool.zone_away.iter().map(move |away| (pool, away)));
    rows.filter(|(_, away)| away.short_mib > 0)
        .map(|(pool, away)| {
            format!(
                "with availability zone `{}` away, {} MiB of pool `{}` are not reachable",
                away.zone, away.short_mib, pool.pool
            )
        })
        .collect()
}
