//! Subcommand `ward-standin hosts`.

use clap::{Arg, ArgMatches, Command, value_parser};
use ward_standin::{
    HostsFaults, HostsSettings, HostsStandin, RunningStandin, StandinError, StoreSettings,
};

use super::arguments::{ANY_PORT, count, listen, time_span, value};

pub(super) fn command() -> Command {
    let defaults = StoreSettings::default();
    Command::new("hosts")
        .about("The host list and the weight store")
        .arg(listen())
        .arg(time_span(
            "model-gib",
            defaults.time_per_gib,
            "Load time per GiB of a model at full speed",
        ))
        .arg(count(
            "model-loads",
            defaults.full_speed_models,
            "Model loads that run concurrently at full speed",
        ))
        .arg(time_span(
            "start-interval",
            defaults.start_interval,
            "Minimum time between the starts of two model loads",
        ))
        .arg(time_span(
            "adapter",
            defaults.adapter_time,
            "Load time of an adapter at full speed",
        ))
        .arg(count(
            "adapter-loads",
            defaults.full_speed_adapters,
            "Adapter loads that run concurrently at full speed",
        ))
        .arg(
            Arg::new("lag-ms")
                .long("lag-ms")
                .value_name("MILLISECONDS")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Age of the served version of the host list"),
        )
}

pub(super) async fn start(matches: &ArgMatches) -> Result<RunningStandin, StandinError> {
    let defaults = StoreSettings::default();
    let store = StoreSettings {
        time_per_gib: value(matches, "model-gib", defaults.time_per_gib),
        full_speed_models: value(matches, "model-loads", defaults.full_speed_models),
        start_interval: value(matches, "start-interval", defaults.start_interval),
        adapter_time: value(matches, "adapter", defaults.adapter_time),
        full_speed_adapters: value(matches, "adapter-loads", defaults.full_speed_adapters),
    };
    HostsStandin::start(HostsSettings {
        listen: value(matches, "listen", ANY_PORT),
        store,
        faults: HostsFaults {
            lag_ms: value(matches, "lag-ms", 0),
            ..HostsFaults::default()
        },
    })
    .await
}
