//! A stand-in for an engine of a plain service, which answers each request after some work.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::{self, Request};
use crate::world::{World, now_ms};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// One run of a request: its id, and when it ended.
#[derive(Debug, Clone)]
pub struct PlainRun {
    pub id: String,
    pub ended: Option<f64>,
}

pub type PlainRuns = Arc<Mutex<Vec<PlainRun>>>;

/// An engine of a plain service. Clones share it.
#[derive(Clone)]
pub struct PlainEngine {
    world: World,
    number: u8,
    id: String,
    slots: u32,
    work: Duration,
    running: Arc<AtomicU32>,
    runs: PlainRuns,
}

impl PlainEngine {
    pub fn start(
        world: &World,
        number: u8,
        slots: u32,
        work: Duration,
        runs: &PlainRuns,
    ) -> std::io::Result<Self> {
        let engine = Self {
            world: world.clone(),
            number,
            id: format!("i-{number:04x}{:06x}", now_ms() & 0xff_ffff),
            slots,
            work,
            running: Arc::default(),
            runs: Arc::clone(runs),
        };
        let address = world.block.app(number);
        let serving = engine.clone();
        http::serve(
            address,
            Arc::new(move |request, stream| serving.handle(&request, stream)),
        )?;
        let beating = engine.clone();
        thread::spawn(move || {
            loop {
                beating.write_entry(address);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    fn write_entry(&self, address: SocketAddr) {
        let entry = format!(
            "{{\"service\":\"plan-api\",\"address\":\"{address}\",\"zone\":\"ikeja\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_ms\":0,\"seq\":1}}",
            self.slots
        );
        self.world
            .store
            .put(&format!("servers/{}", self.id), &entry);
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        if request.path == "/health" {
            return http::respond(stream, 200, &[("X-Oatpier-Instance-Id", &self.id)], b"");
        }
        let id = request
            .header("x-oatpier-request-id")
            .unwrap_or_default()
            .to_owned();
        let is_other = request
            .header("x-oatpier-expect-instance")
            .is_some_and(|expected| expected != self.id);
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        if is_other || running >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [
                ("X-Oatpier-Request-Id", id.as_str()),
                ("X-Oatpier-Not-Executed", "1"),
            ];
            return http::respond(stream, if is_other { 421 } else { 503 }, &headers, b"");
        }
        let index = {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            runs.push(PlainRun {
                id: id.clone(),
                ended: None,
            });
            runs.len() - 1
        };
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)[index].ended =
            Some(self.world.record.seconds());
        let stamp = format!("{id}.{}", self.number);
        let headers = [
            ("X-Oatpier-Request-Id", id.as_str()),
            ("X-Oatpier-Response-Stamp", stamp.as_str()),
        ];
        http::respond(stream, 200, &headers, format!("plan of {id}").as_bytes())
    }
}
