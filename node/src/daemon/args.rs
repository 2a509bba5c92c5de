use {
    super::{serve, LogWriter},
    crate::adapters::{HttpEngine, HttpList, HttpService, HttpStore, HttpWeights},
    anyhow::{bail, Context, Result},
    argh::FromArgs,
    lentil_core::settings::Settings,
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::{fs, path::Path, path::PathBuf, sync::Arc},
};

/// Serves language-model requests on one instance.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// path to the settings of this instance, a JSON file
    #[argh(option)]
    pub settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Exit code when the settings cannot be read or are invalid.
pub const BAD_SETTINGS_EXIT_CODE: i32 = 2;

/// Reads and validates the settings in a JSON file.
///
/// # Errors
/// If the file cannot be read, or the settings are invalid; lists every problem with its JSON
/// path, one per line.
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

/// Creates the HTTP adapters for the external services named in the settings.
pub fn build_ports(settings: &Settings) -> crate::app::Ports {
    let platform = &settings.platform;
    let timeout = platform.timeout.duration();
    let weights = platform.weights.map(|address| {
        let store: Arc<dyn crate::ports::WeightStore> =
            Arc::new(HttpWeights::new(address, timeout));
        store
    });
    crate::app::Ports {
        store: Arc::new(HttpStore::new(platform.store, timeout)),
        list: Arc::new(HttpList::new(platform.list, timeout)),
        weights,
        engines: Arc::new(HttpEngine::new(timeout, settings.control.order.duration())),
        services: Arc::new(HttpService),
        api: None,
        workspaces: None,
    }
}

fn start_log(settings: &Settings) -> Result<()> {
    let level = settings.log.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    WriteLogger::init(level, config, LogWriter::new(std::io::stdout()))?;
    Ok(())
}

/// Runs the daemon until it is stopped and returns the exit code.
///
/// `serve_hosted` serves in place of [`serve`](super::serve) when the settings have a `hosted`
/// section.
pub fn run(args: &Args, serve_hosted: impl FnOnce(Settings) -> Result<()>) -> i32 {
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("lentilgrade: {error:#}");
            return BAD_SETTINGS_EXIT_CODE;
        }
    };
    if args.check {
        println!("settings are good");
        return 0;
    }
    let result = match settings.hosted.is_some() {
        true => start_log(&settings).and_then(|()| serve_hosted(settings)),
        false => serve_settings(settings),
    };
    let code = match result {
        Ok(()) => 0,
        Err(error) => {
            log::error!("daemon: {error:#}");
            1
        }
    };
    // Log lines still in the queue would be lost when the process exits.
    log::logger().flush();
    code
}

fn serve_settings(settings: Settings) -> Result<()> {
    start_log(&settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let ports = build_ports(&settings);
    runtime.block_on(serve(settings, ports))
}
