//! A backend server that sends some answers twice, late or cut, on connections that it keeps open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use buckthornweir_standins::AnswerBody;
use buckthornweir_standins::free_tcp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio_util::sync::{CancellationToken, DropGuard};

/// The header with which an agent recognizes the answer to its request.
const EXCHANGE_HEADER: &str = "x-exchange-id";

/// The longest delay of the second copy of an answer.
const MAX_COPY_DELAY_MS: u64 = 4;

/// The delay of a late answer, which is longer than the deadlines of some requests.
const LATE_DELAY: Duration = Duration::from_millis(40);

/// What the backend server has done.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Answers that were sent twice.
    pub(crate) repeated: AtomicU64,
    /// Requests that came on a connection after an earlier one.
    pub(crate) reused: AtomicU64,
}

/// A running backend server, which stops when it is dropped.
pub(crate) struct RepeatingBackend {
    pub(crate) addr: SocketAddr,
    pub(crate) tally: Arc<Tally>,
    _guard: DropGuard,
}

/// How an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    Once,
    Twice,
    Late,
    Cut,
    ThenClose,
}

impl Manner {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..100_u32) {
            0..20 => Self::Twice,
            20..24 => Self::Late,
            24..27 => Self::Cut,
            27..30 => Self::ThenClose,
            _ => Self::Once,
        }
    }
}

/// The parts of a request that its answer depends on.
struct Request {
    path: String,
    id: SmolStr,
    exchange: Option<String>,
}

impl RepeatingBackend {
    /// Starts a backend server whose behavior depends on `seed`. If `echoes` is set, it returns the
    /// agent's header on each answer.
    pub(crate) async fn start(name: &str, seed: u64, echoes: bool) -> Self {
        let listener = TcpListener::bind(free_tcp()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let token = CancellationToken::new();
        let tally = Arc::new(Tally::default());
        let (name, shared) = (SmolStr::from(name), tally.clone());
        let stop = token.clone();
        let accept = async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                let rng = ChaCha8Rng::seed_from_u64(seed << 32 | connection);
                let serve = serve(stream, name.clone(), rng, echoes, shared.clone());
                tokio::spawn(stop.clone().run_until_cancelled_owned(serve));
            }
        };
        tokio::spawn(token.clone().run_until_cancelled_owned(accept));
        Self {
            addr,
            tally,
            _guard: token.drop_guard(),
        }
    }
}

async fn serve(
    stream: TcpStream,
    name: SmolStr,
    mut rng: ChaCha8Rng,
    echoes: bool,
    tally: Arc<Tally>,
) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (mut reader, writer) = (BufReader::new(reader), Arc::new(Mutex::new(writer)));
    let mut earlier = 0;
    while let Some(request) = read_request(&mut reader).await {
        if request.path.starts_with("/-/") {
            let text = match request.path.as_str() {
                "/-/load" => r#"{"busy":0,"slots":5}"#,
                _ => "ok",
            };
            if write(&writer, answer(text, None).as_bytes())
                .await
                .is_none()
            {
                return;
            }
            continue;
        }
        tally
            .reused
            .fetch_add(u64::from(earlier > 0), Ordering::Relaxed);
        earlier += 1;
        let body = AnswerBody {
            service: "orders".into(),
            backend: name.clone(),
            request_id: request.id,
            path: request.path.as_str().into(),
            padding: "x".repeat(rng.random_range(0..3_000)),
        };
        let text = serde_json::to_string(&body).unwrap();
        let bytes = answer(&text, request.exchange.filter(|_| echoes));
        let manner = Manner::draw(&mut rng);
        if manner == Manner::Late {
            tokio::time::sleep(LATE_DELAY).await;
        }
        let sent = match manner {
            Manner::Cut => &bytes.as_bytes()[..bytes.len() / 2],
            _ => bytes.as_bytes(),
        };
        if write(&writer, sent).await.is_none() {
            return;
        }
        match manner {
            Manner::Cut | Manner::ThenClose => return,
            Manner::Twice => {
                tally.repeated.fetch_add(1, Ordering::Relaxed);
                let delay = Duration::from_micros(rng.random_range(0..MAX_COPY_DELAY_MS * 1_000));
                let writer = writer.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    write(&writer, bytes.as_bytes()).await;
                });
            }
            Manner::Once | Manner::Late => {}
        }
    }
}

async fn write(writer: &Mutex<OwnedWriteHalf>, bytes: &[u8]) -> Option<()> {
    writer.lock().await.write_all(bytes).await.ok()
}

fn answer(body: &str, exchange: Option<String>) -> String {
    let echo = exchange.map(|id| format!("{EXCHANGE_HEADER}: {id}\r\n"));
    let echo = echo.unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{echo}content-length: {length}\r\n\r\n{body}")
}

/// Reads a request, or returns `None` at the end of the connection.
async fn read_request(reader: &mut BufReader<tokio::net::tcp::OwnedReadHalf>) -> Option<Request> {
    let mut first = String::new();
    reader.read_line(&mut first).await.ok()?;
    let path = first.split(' ').nth(1)?.to_owned();
    let mut request = Request {
        path,
        id: SmolStr::default(),
        exchange: None,
    };
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await.ok()?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        match name {
            "x-request-id" => request.id = value.into(),
            EXCHANGE_HEADER => request.exchange = Some(value.to_owned()),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.ok()?;
    Some(request)
}
