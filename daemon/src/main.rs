//! Daemon of one entry instance.

fn main() {
    let args: lentilgrade::daemon::Args = argh::from_env();
    std::process::exit(lentilgrade::daemon::run(&args, lentil_platform::serve));
}
