//! Calls between two instances over a real connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cleat_link::{
    CallError, Handler, Link, LinkConfig, LinkTraffic, MemberReport, PeerError, PeerListener,
    Proposed, Renewal, RenewalOutcome, SlotMessage,
};
use cleat_quorum::Message;
use cleat_world::CommandBody;

const LIMIT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Leader {
    reads: AtomicU64,
}

impl Handler for Leader {
    fn deliver(&self, _: Vec<Message>) {}

    fn slots(&self, _: &str, _: Vec<SlotMessage>) {}

    async fn propose(&self, _: CommandBody) -> Result<Proposed, PeerError> {
        Err(PeerError::NotLeader {
            leader: Some("e3".into()),
        })
    }

    async fn wait_in_force(&self, _: u64) -> Result<(), PeerError> {
        std::future::pending().await
    }

    async fn read_index(&self) -> Result<u64, PeerError> {
        Ok(self.reads.fetch_add(1, Ordering::SeqCst))
    }

    fn renew(&self, renewals: &[Renewal]) -> Result<Vec<RenewalOutcome>, PeerError> {
        Ok(vec![RenewalOutcome::Renewed; renewals.len()])
    }

    fn members(&self) -> Result<Vec<MemberReport>, PeerError> {
        Ok(Vec::new())
    }
}

async fn listen(address: std::net::SocketAddr) -> PeerListener {
    PeerListener::bind(address).await.expect("a port")
}

fn link(address: std::net::SocketAddr) -> Link {
    let name = "e2".into();
    Link::spawn(LinkConfig { name, address }, Arc::default())
}

async fn connected(link: &Link) {
    while link.read_index(LIMIT).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn call_answers_and_counts_bytes() {
    let listener = listen(([127, 0, 0, 1], 0).into()).await;
    let link = link(listener.local_addr());
    let traffic = Arc::new(LinkTraffic::default());
    let server = listener.serve(Arc::new(Leader::default()), traffic.clone());
    connected(&link).await;
    let renewal = Renewal {
        name: "t1".into(),
        incarnation: 1,
    };
    let outcomes = link.renew(vec![renewal], LIMIT).await;
    assert_eq!(outcomes, Ok(vec![RenewalOutcome::Renewed]));
    assert!(traffic.snapshot().received_bytes > 0);
    server.abort();
}

#[tokio::test]
async fn call_refused_names_the_leader() {
    let listener = listen(([127, 0, 0, 1], 0).into()).await;
    let link = link(listener.local_addr());
    listener.serve(Arc::new(Leader::default()), Arc::default());
    connected(&link).await;
    let begin = cleat_world::BeginIncarnation {
        entry: "e1".into(),
        incarnation: 1,
    };
    let refused = link
        .propose(CommandBody::BeginIncarnation(begin), LIMIT)
        .await;
    let source = PeerError::NotLeader {
        leader: Some("e3".into()),
    };
    let name = "e2".into();
    assert_eq!(refused, Err(CallError::Refused { name, source }));
}

#[tokio::test]
async fn call_without_connection_is_not_sent() {
    let listener = listen(([127, 0, 0, 1], 0).into()).await;
    let address = listener.local_addr();
    drop(listener);
    let refused = link(address).read_index(LIMIT).await;
    assert_eq!(refused, Err(CallError::NotSent { name: "e2".into() }));
}

#[tokio::test]
async fn call_without_answer_is_open() {
    let listener = listen(([127, 0, 0, 1], 0).into()).await;
    let link = link(listener.local_addr());
    listener.serve(Arc::new(Leader::default()), Arc::default());
    connected(&link).await;
    let open = link.wait_in_force(1, Duration::from_millis(20)).await;
    assert_eq!(open, Err(CallError::NoAnswer { name: "e2".into() }));
}

/// Passes connections on, but for the first, which goes silent: it takes what
/// is sent and never answers.
async fn silent_once(to: std::net::SocketAddr) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut silent = Vec::new();
        while let Ok((mut near, _)) = listener.accept().await {
            if silent.is_empty() {
                silent.push(near);
                continue;
            }
            tokio::spawn(async move {
                let mut far = tokio::net::TcpStream::connect(to)
                    .await
                    .expect("the server");
                let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn call_after_a_connection_fell_silent() {
    let listener = PeerListener::bind("127.0.0.1:0".parse().expect("an address")).await;
    let listener = listener.expect("a listener");
    let server = listener.local_addr();
    let traffic = Arc::new(LinkTraffic::default());
    let _serving = listener.serve(Arc::new(Leader::default()), traffic.clone());
    let cfg = LinkConfig {
        name: "e2".into(),
        address: silent_once(server).await,
    };
    let link = Link::<cleat_link::PeerClient>::spawn(cfg, traffic);
    let short = Duration::from_millis(200);
    let deadline = std::time::Instant::now() + Duration::from_secs(60);
    while link.read_index(short).await.is_err() {
        let late = std::time::Instant::now() > deadline;
        assert!(!late, "the link must open a connection anew");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
