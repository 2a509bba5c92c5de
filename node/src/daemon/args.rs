use {
    super::{serve, LogWriter},
    crate::adapters::{HttpEngine, HttpList, HttpService, HttpStore, HttpWeights},
    anyhow::{bail, Context, Result},
    argh::FromArgs,
    lentil_core::settings::Settings,
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::{fs, path::Path, path::PathBuf, sync::Arc},
};

/// Serves language-model requests on one entry instance.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// settings of this instance, a JSON file
    #[argh(option)]
    pub settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    pub check: bool,
}

/// Exit code for settings that can't be used.
pub const BAD_SETTINGS: i32 = 2;

/// Reads settings from a file.
///
/// # Errors
/// Each fault with its JSON path, one a line.
pub fn read_settings(path: &Path) -> Result<Settings> {
    let text =
        fs::read_to_string(path).with_context(|| format!("settings {:?}", path.display()))?;
    match Settings::parse(&text) {
        Ok(settings) => Ok(settings),
        Err(problems) => {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            bail!("settings {:?}:\n{}", path.display(), lines.join("\n"))
        }
    }
}

/// Adapters to the systems that the settings name.
pub fn build_ports(settings: &Settings) -> crate::app::Ports {
    let platform = &settings.platform;
    let limit = platform.timeout.duration();
    let weights = platform.weights.map(|a| {
        let store: Arc<dyn crate::ports::WeightStore> = Arc::new(HttpWeights::new(a, limit));
        store
    });
    crate::app::Ports {
        store: Arc::new(HttpStore::new(platform.store, limit)),
        list: Arc::new(HttpList::new(platform.list, limit)),
        weights,
        engines: Arc::new(HttpEngine::new(limit, settings.control.order.duration())),
        services: Arc::new(HttpService),
    }
}

fn start_log(settings: &Settings) -> Result<()> {
    let level = settings.log.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    WriteLogger::init(level, config, LogWriter::new(std::io::stdout()))?;
    Ok(())
}

/// The whole program: reads settings, serves, and gives the exit code.
pub fn run(args: &Args, hosted: impl FnOnce(Settings) -> Result<()>) -> i32 {
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("lentilgrade: {error:#}");
            return BAD_SETTINGS;
        }
    };
    if args.check {
        println!("settings are good");
        return 0;
    }
    let hosts = settings.hosted.is_some();
    let served = match hosts {
        true => start_log(&settings).and_then(|()| hosted(settings)),
        false => serve_settings(settings),
    };
    let code = match served {
        Ok(()) => 0,
        Err(error) => {
            log::error!("daemon: {error:#}");
            1
        }
    };
    // Lines that wait would be lost with the process.
    log::logger().flush();
    code
}

fn serve_settings(settings: Settings) -> Result<()> {
    start_log(&settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let ports = build_ports(&settings);
    runtime.block_on(serve(settings, ports))
}
