//! Entry point of the `lentilgrade` daemon.

fn main() {
    let args: lentil_node::daemon::Args = argh::from_env();
    std::process::exit(lentil_node::daemon::run(&args, lentil_platform::serve));
}
