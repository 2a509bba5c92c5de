//! A proxy on the path between one machine and one runner, which can be cut.

use {
    crate::deployment::free_address,
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        thread,
        time::Duration,
    },
};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let proxy = Self { address: free_address(), cut: Arc::default(), open: Arc::default() };
        let path = proxy.clone();
        let mut listener = Some(listen(proxy.address));
        thread::spawn(move || loop {
            if path.cut.load(Ordering::Relaxed) {
                // Without a listener new connections are refused.
                listener = None;
                for stream in path.open.lock().unwrap().drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => path.forward(stream, target),
                Some(Err(_)) => thread::sleep(Duration::from_millis(1)),
                None if path.cut.load(Ordering::Relaxed) => {
                    thread::sleep(Duration::from_millis(1));
                }
                None => listener = Some(listen(path.address)),
            }
        });
        proxy
    }

    /// Cuts the path, which resets its connections and refuses new ones, or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    fn forward(&self, near: TcpStream, target: SocketAddr) {
        let _ = near.set_nonblocking(false);
        let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_millis(300)) else {
            return;
        };
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
        }
        let copies = (near.try_clone(), far.try_clone(), near.try_clone(), far.try_clone());
        let (Ok(near_copy), Ok(far_copy), Ok(near_open), Ok(far_open)) = copies else { return };
        self.open.lock().unwrap().extend([near_open, far_open]);
        thread::spawn(move || copy(near, far));
        thread::spawn(move || copy(far_copy, near_copy));
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address) {
            listener.set_nonblocking(true).expect("a listener");
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut part = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut part) {
        if to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
