//! Entry point of `lentilctl`.

fn main() {
    let args: lentilctl::args::Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(lentilctl::run(args.command)),
        Err(error) => Err(error.into()),
    };
    std::process::exit(code.unwrap_or_else(|error| {
        eprintln!("lentilctl: {error:#}");
        1
    }));
}
