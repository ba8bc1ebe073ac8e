//! Formats capacity reports as text.

use oatpier_types::config::capacity::{CapacityReport, PackResult, PoolCapacity};

use crate::shell::table;

/// Maximum number of names that are listed as not fitting.
const MAX_SHOWN_NAMES: usize = 5;

/// Formats the memory shortages, one line for each pool that has one.
#[must_use]
pub fn format_shortages(report: &CapacityReport) -> String {
    let short = report.pools.iter().filter(|pool| !pool.fits());
    short.map(format_shortage).collect::<Vec<_>>().join("\n")
}

fn format_shortage(pool: &PoolCapacity) -> String {
    let capacity = format!(
        "pool `{}`: {} endpoints of {} MiB hold {} MiB",
        pool.pool, pool.endpoints, pool.endpoint_mib, pool.total_mib
    );
    if pool.steady.short_mib > 0 {
        return format!(
            "{capacity}, its models and adapters take {} MiB: {} MiB do not fit ({})",
            pool.weights_mib,
            pool.steady.short_mib,
            format_unplaced_names(&pool.steady)
        );
    }
    format!(
        "{capacity}, its models and adapters take {} MiB; changing the version of `{}` takes {} \
         MiB more: {} MiB do not fit",
        pool.weights_mib, pool.largest, pool.change_mib, pool.changing.short_mib
    )
}

fn format_unplaced_names(result: &PackResult) -> String {
    let shown = result.unplaced.iter().take(MAX_SHOWN_NAMES);
    let shown = shown.map(String::as_str).collect::<Vec<_>>().join(", ");
    match result.unplaced.len().saturating_sub(MAX_SHOWN_NAMES) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}

/// Formats the capacity of all pools as a table.
#[must_use]
pub fn format_capacity(report: &CapacityReport) -> String {
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

/// Returns a warning for each availability zone whose loss would leave a pool short of memory.
#[must_use]
pub fn zone_warnings(report: &CapacityReport) -> Vec<String> {
    let pools = report.pools.iter();
    let rows = pools.flat_map(|pool| pool.zone_away.iter().map(move |away| (pool, away)));
    rows.filter(|(_, away)| away.short_mib > 0)
        .map(|(pool, away)| {
            format!(
                "without availability zone `{}`, {} MiB of pool `{}` are not reachable",
                away.zone, away.short_mib, pool.pool
            )
        })
        .collect()
}
