//! What clients do when a balancer does not take a request.

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
/// Index of the idempotent class.
const BROWSE: usize = 0;
/// Index of the non-idempotent class.
const ORDER: usize = 1;

fn run_local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// An endpoint that refuses connections, as nothing listens there.
async fn refusing_endpoint() -> Rc<Endpoint> {
    Endpoint::new(TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap())
}

/// An endpoint that reads one request of each connection, answers it if `answers`, and closes the connection.
async fn listening_endpoint(answers: bool) -> Rc<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = Endpoint::new(listener.local_addr().unwrap());
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = HttpConnection::new(stream);
            let _request = connection.read_request().await;
            if answers {
                connection.write(&crate::http::format_response(200, "", "done")).await.unwrap();
            }
        }
    });
    endpoint
}

async fn send(class: usize, failover: Failover, endpoints: &[Rc<Endpoint>]) -> ClientRequest {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let planned = PlannedRequest { id: "t".into(), at_us: 0, class, balancer: 0, work_us: 1 };
    let client = Client { scenario: &scenario, planned: &planned, recorder: &Recorder::new(), failover };
    client.send(endpoints, 0).await
}

#[test]
fn candidates_begin_with_the_planned_balancer_and_end_with_unhealthy_ones() {
    let endpoints: Vec<_> = (1..=4).map(|port| Endpoint::new(([127, 0, 0, 1], port).into())).collect();
    assert_eq!(Failover::NextBalancer.candidates(2, &endpoints), [2, 3, 0, 1]);
    endpoints[2].is_healthy.set(false);
    endpoints[0].is_healthy.set(false);
    assert_eq!(Failover::NextBalancer.candidates(2, &endpoints), [3, 1, 2, 0]);
    assert_eq!(Failover::Never.candidates(2, &endpoints), [2]);
}

#[test]
fn a_refused_request_goes_to_the_next_balancer() {
    run_local(async {
        for class in [BROWSE, ORDER] {
            let endpoints = [refusing_endpoint().await, listening_endpoint(true).await];
            let failed_over = send(class, Failover::NextBalancer, &endpoints).await;
            assert_eq!((failed_over.status, failed_over.balancer), (200, 1));
            let given_up = send(class, Failover::Never, &endpoints).await;
            assert_eq!((given_up.sent_us, given_up.answered_us, given_up.balancer), (None, None, 0));
        }
    });
}

#[test]
fn a_non_idempotent_request_is_not_resent_after_its_connection_is_closed() {
    run_local(async {
        let endpoints = [listening_endpoint(false).await, listening_endpoint(true).await];
        let browse = send(BROWSE, Failover::NextBalancer, &endpoints).await;
        assert_eq!((browse.status, browse.balancer), (200, 1));
        let order = send(ORDER, Failover::NextBalancer, &endpoints).await;
        assert!(order.sent_us.is_some() && order.answered_us.is_none());
        assert_eq!(order.balancer, 0);
    });
}

/// Without `sent_us` the judge would take the request for one that was never sent, and would not miss its response.
#[test]
fn a_request_that_no_balancer_answers_counts_as_sent() {
    run_local(async {
        let endpoints = [listening_endpoint(false).await, listening_endpoint(false).await];
        let browse = send(BROWSE, Failover::NextBalancer, &endpoints).await;
        assert!(browse.sent_us.is_some() && browse.answered_us.is_none());
    });
}
