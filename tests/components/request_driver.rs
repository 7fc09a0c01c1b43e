//! The state that the driver keeps for members and requests, and its removal.

use crate::session_fixture::{example_config, new_metrics};
use linenhill::api::{MemberId, RequestId};
use linenhill::clock::Clock;
use linenhill::counters::Counters;
use linenhill::discovery::list::{self, ListEvent};
use linenhill::fleet::quota::FleetQuota;
use linenhill::policy::Router;
use linenhill::stages::accounting::RequestAccounting;
use linenhill::stages::dispatch::Dispatcher;
use linenhill::stages::driver::{Driver, DriverParts};
use linenhill::stages::response_channel::response_channel;
use linenhill::stages::response_delivery::ResponseDelivery;
use linenhill::stages::{DriverInput, FinalResponse};
use linenhill::upstream::pool::{Pool, PoolLimits};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const SECOND: Duration = Duration::from_secs(1);

/// Creates a driver; returns it with its pool and the sender of its inputs.
fn new_driver() -> (Driver, Pool, mpsc::UnboundedSender<DriverInput>) {
    let config = example_config();
    let counters = Rc::new(Counters::default());
    let limits = PoolLimits {
        max_connections: 9,
        response_bytes: 1 << 20,
        idle_close: SECOND,
        connect_timeout: SECOND,
    };
    let pool = Pool::new(limits, counters.clone());
    let (inbox, events) = mpsc::unbounded_channel();
    let clock = Clock::start();
    let accounting = RequestAccounting::new(counters, new_metrics());
    let limits = &config.site.settings.limits;
    let dispatcher = Dispatcher::new(pool.clone(), inbox.clone(), accounting, limits);
    let router = Router::new(config.site.settings, 42, clock.now());
    let driver = Driver::new(DriverParts {
        router,
        clock,
        inputs: events,
        dispatcher,
        responses: ResponseDelivery::default(),
        pool: pool.clone(),
        identifiers: config.names,
        subscribe: Rc::new(Notify::new()),
        maintenance: Rc::default(),
        quota: FleetQuota::default(),
    });
    (driver, pool, inbox)
}

/// Returns the event of a full list with one member.
fn list_of_one(version: u64, id: &str) -> DriverInput {
    let line = format!(
        r#"{{"version":{version},"full":true,"servers":[{{"id":"{id}","addr":"127.0.0.1:1",
            "zone":"a","kind":"m2","cell":1,"state":"in_service"}}]}}"#
    );
    let decoded = list::decode(line.as_bytes()).expect("valid list");
    DriverInput::List(ListEvent::Received(decoded.list))
}

/// Guards against state that is kept indefinitely for members that were removed, and against a number that is reused
/// for another member.
#[tokio::test(start_paused = true)]
async fn forgotten_members_are_dropped_everywhere() {
    let (driver, pool, inbox) = new_driver();
    let is_in_pool = |number| pool.address(MemberId(number)).is_some();
    let receive = |version: u64, id: &str| assert!(inbox.send(list_of_one(version, id)).is_ok());
    let steps = async {
        for (version, id) in [(1, "old"), (2, "new")] {
            receive(version, id);
            sleep(SECOND).await;
        }
        assert!(is_in_pool(0), "a removed member may return and is kept for a while");
        sleep(60 * SECOND).await;
        receive(3, "new");
        sleep(SECOND).await;
        assert!(!is_in_pool(0) && is_in_pool(1));
        receive(4, "newest");
        sleep(SECOND).await;
        assert!(!is_in_pool(0) && is_in_pool(2));
    };
    let run = async {
        tokio::select! {
            () = driver.run() => unreachable!(),
            () = steps => {}
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a deadline that is kept after its request has ended.
#[tokio::test(start_paused = true)]
async fn nothing_is_due_once_it_is_answered() {
    let mut responses = ResponseDelivery::default();
    let due = Instant::now() + Duration::from_secs(600);
    let ids = [RequestId([1; 36]), RequestId([2; 36])];
    let replies = ids.map(|id| {
        let (reply, answer) = response_channel(None);
        responses.register(id, reply, due);
        answer
    });
    assert_eq!(responses.next_due(), Some((due, ids[0])));
    assert!(responses.deliver(&ids[0], FinalResponse::Failed) && responses.abandon(&ids[1]));
    assert!(!responses.deliver(&ids[0], FinalResponse::Failed), "a request gets only one answer");
    assert_eq!(responses.next_due(), None);
    drop(replies);
}
