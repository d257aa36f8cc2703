use std::{sync::Arc, time::Duration};

use eyre::Result;
use serde_json::json;
use tokio::{
    io::{AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    http::{self, Message},
    ledger::Ledger,
    proxy::{Harm, Proxy},
    store::Store,
};

/// Upstreams of the service.
const COUNT: usize = 4;

/// Time that a plain call takes, and that passes between two events of a stream.
const WORK: Duration = Duration::from_millis(15);

/// Events of a stream.
pub const EVENTS: u32 = 6;

/// Upstreams behind their proxies, registered in the store.
pub struct Upstreams {
    proxies: Vec<Proxy>,
}

impl Upstreams {
    pub async fn start(store: &Store, ledger: &Arc<Ledger>) -> Result<Self> {
        let mut proxies = Vec::new();
        for number in 0..COUNT {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let proxy = Proxy::start(listener.local_addr()?).await?;
            let name = format!("i-{number}");
            register(store, &name, &proxy);
            let ledger = ledger.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (name, ledger) = (name.clone(), ledger.clone());
                    tokio::spawn(async move { serve(stream, &name, &ledger).await });
                }
            });
            proxies.push(proxy);
        }
        Ok(Self { proxies })
    }

    pub fn count(&self) -> usize {
        self.proxies.len()
    }

    pub fn harm(&self, index: usize, harm: Harm) {
        self.proxies[index].set(harm);
    }

    pub fn heal(&self) {
        for proxy in &self.proxies {
            proxy.set(Harm::None);
        }
    }
}

fn register(store: &Store, name: &str, proxy: &Proxy) {
    let row = json!({
        "service": "parts", "address": proxy.address.to_string(), "zone": "norte", "slots": 8,
        "state": "ready", "sequence": 1,
    });
    store.put("servers", name, &row);
}

async fn serve(stream: TcpStream, name: &str, ledger: &Ledger) {
    let mut stream = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut stream).await {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.header("expect-instance") != Some(name) {
            let sent = http::answer(&mut stream, 421, "", "").await;
            if sent.is_err() {
                return;
            }
            continue;
        }
        ledger.run(&id);
        let head = format!("request-id: {id}\r\nresponse-stamp: {name}\r\n");
        let sent = if request.word(1).contains("/stream/") {
            stream_events(&mut stream, &request, &head, &id).await
        } else {
            sleep(WORK).await;
            http::answer(&mut stream, 200, &head, &format!("answer to {id}")).await
        };
        if sent.is_err() {
            return;
        }
    }
}

async fn stream_events(
    stream: &mut BufReader<TcpStream>,
    request: &Message,
    head: &str,
    id: &str,
) -> std::io::Result<()> {
    let after = request
        .header("last-event-id")
        .and_then(|text| text.parse().ok());
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for event in after.unwrap_or(0) + 1..=EVENTS {
        sleep(WORK).await;
        let event = format!("id: {event}\ndata: {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
    }
    stream.write_all(b"0\r\n\r\n").await
}
