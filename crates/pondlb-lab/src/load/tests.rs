//! What clients do where a balancer takes no request.

use std::future::Future;

use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use super::*;

const SCENARIO: &str = "seed = 1\nseconds = 1.0\nbalancers = 2\n[[upstreams]]\ncount = 1\n\
    [[schemes]]\nname = \"browse\"\neffect = \"repeatable\"\nsla_ms = 100\nexpiry_ms = 300\nvalue = 1.0\nrate = 1.0\n\
    work_ms = 1.0\n\
    [[schemes]]\nname = \"order\"\neffect = \"once-only\"\nsla_ms = 100\nexpiry_ms = 300\nvalue = 1.0\nrate = 1.0\n\
    work_ms = 1.0\n";
const BROWSE: usize = 0;
const ORDER: usize = 1;

fn in_runtime(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Nobody listens there.
async fn refusing() -> Rc<Endpoint> {
    Endpoint::new(TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap())
}

/// Reads a request of each connection, and answers it or closes the connection without.
async fn listening(answers: bool) -> Rc<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let door = Endpoint::new(listener.local_addr().unwrap());
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut wire = HttpConnection::new(stream);
            let _request = wire.read_request().await;
            if answers {
                wire.write(&crate::http::format_response(200, "", "done")).await.unwrap();
            }
        }
    });
    door
}

async fn asked(class: usize, failover: Failover, doors: &[Rc<Endpoint>]) -> ClientRequest {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let planned = PlannedRequest { id: "t".into(), at_us: 0, class, balancer: 0, work_us: 1 };
    let client = Client { scenario: &scenario, planned: &planned, book: &Recorder::new(), failover };
    client.ask(doors, 0).await
}

#[test]
fn the_planned_balancer_comes_first_and_unhealthy_ones_last() {
    let doors: Vec<_> = (1..=4).map(|port| Endpoint::new(([127, 0, 0, 1], port).into())).collect();
    assert_eq!(Failover::NextBalancer.candidates(2, &doors), [2, 3, 0, 1]);
    doors[2].is_healthy.set(false);
    doors[0].is_healthy.set(false);
    assert_eq!(Failover::NextBalancer.candidates(2, &doors), [3, 1, 2, 0]);
    assert_eq!(Failover::Never.candidates(2, &doors), [2]);
}

#[test]
fn a_refused_request_goes_to_the_next_balancer() {
    in_runtime(async {
        for class in [BROWSE, ORDER] {
            let doors = [refusing().await, listening(true).await];
            let asked_next = asked(class, Failover::NextBalancer, &doors).await;
            assert_eq!((asked_next.status, asked_next.balancer), (200, 1));
            let left = asked(class, Failover::Never, &doors).await;
            assert_eq!((left.sent_us, left.answered_us, left.balancer), (None, None, 0));
        }
    });
}

#[test]
fn what_may_run_once_only_is_not_repeated_after_a_connection_closed_on_it() {
    in_runtime(async {
        let doors = [listening(false).await, listening(true).await];
        let browse = asked(BROWSE, Failover::NextBalancer, &doors).await;
        assert_eq!((browse.status, browse.balancer), (200, 1));
        let order = asked(ORDER, Failover::NextBalancer, &doors).await;
        assert!(order.sent_us.is_some() && order.answered_us.is_none());
        assert_eq!(order.balancer, 0);
    });
}

/// Else the judge would take it for one that was never sent.
#[test]
fn a_request_that_no_balancer_answers_counts_as_sent() {
    in_runtime(async {
        let doors = [listening(false).await, listening(false).await];
        let browse = asked(BROWSE, Failover::NextBalancer, &doors).await;
        assert!(browse.sent_us.is_some() && browse.answered_us.is_none());
    });
}
