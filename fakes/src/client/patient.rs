use {
    super::{Caller, Opened, Prompt, Reply},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Pause before a caller comes back.
const PAUSE: Duration = Duration::from_millis(100);

/// How a request of a patient caller ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    /// It was answered whole, with this text.
    Whole(String),
    /// It was refused, with this code, and not run.
    NotRun(String),
    /// It ended with this code, and may have run.
    Unknown(String),
    /// It broke off and was not answered to the end.
    Broken(String),
}

/// The platform's balancer as a caller sees it: gives an instance for each attempt.
pub trait Balancer: Send + Sync {
    /// The instance for the next attempt.
    fn pick(&self) -> SocketAddr;
}

impl Balancer for Vec<SocketAddr> {
    fn pick(&self) -> SocketAddr {
        self[rand::random::<usize>() % self.len()]
    }
}

fn refused(reply: &Reply) -> Ended {
    let code = reply.field("/error/code");
    match reply.header("lentil-outcome") {
        "not-run" => Ended::NotRun(code),
        _ => Ended::Unknown(code),
    }
}

impl Caller {
    /// Streams a completion, resuming it through another instance when a connection breaks.
    pub async fn stream_whole(
        &self,
        balancer: &dyn Balancer,
        prompt: &Prompt,
        limit: Duration,
    ) -> Ended {
        let end = Instant::now() + limit;
        let mut text = String::new();
        let mut last = String::new();
        while Instant::now() < end {
            let at = balancer.pick();
            let opened = match last.rsplit_once(':') {
                None => self.stream(at, prompt).await,
                Some((stream, _)) => self.resume(at, stream, &last).await,
            };
            let mut events = match opened {
                Ok(Opened::Events(events)) => events,
                Ok(Opened::Refused(reply)) if reply.status == 503 => {
                    sleep(PAUSE).await;
                    continue;
                }
                Ok(Opened::Refused(reply)) => return refused(&reply),
                Err(_) => {
                    sleep(PAUSE).await;
                    continue;
                }
            };
            while let Some(event) = events.next().await {
                if event.name == "error" {
                    return Ended::Broken(event.data);
                }
                if event.done() {
                    return Ended::Whole(text);
                }
                text.push_str(&event.text());
                last.clone_from(&event.id);
            }
        }
        Ended::Broken("time is up".into())
    }

    /// Sends a keyed request again until its end is known or time is up.
    pub async fn keyed_whole(
        &self,
        balancer: &dyn Balancer,
        path: &str,
        key: &str,
        body: &str,
        limit: Duration,
    ) -> Ended {
        let end = Instant::now() + limit;
        let mut ended = Ended::Broken("no attempt".into());
        while Instant::now() < end {
            match self.keyed(balancer.pick(), path, key, body).await {
                Ok(reply) if reply.status == 200 => return Ended::Whole(reply.body),
                Ok(reply) => {
                    ended = refused(&reply);
                    let again = [409, 429, 503].contains(&reply.status);
                    if !again {
                        return ended;
                    }
                }
                Err(error) => ended = Ended::Broken(error.to_string()),
            }
            sleep(PAUSE).await;
        }
        ended
    }
}
