//! The instances of one run and the batch that is being read. Each event goes to its instance at once, and the
//! actions are collected until the batch ends. Events and actions must never be reordered: the simulator replays
//! them.

use crate::decode::{InstanceContext, MemberList, NameInterners, decode_event, decode_member};
use crate::encode::{encode_action, encode_batch_end, encode_instance};
use crate::error::MessageError;
use crate::fields::MessageFields;
use linenhill::api::{Action, ListEntry, Time};
use linenhill::policy::Router;
use linenhill::settings::{self, Profile};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of list entries for which memory is reserved in advance, whatever length the list announces.
const MAX_RESERVED_ENTRIES: usize = 4_096;

/// Progress of the current batch after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchState {
    /// Further messages of the batch are expected.
    Incomplete,
    /// The batch has ended and its reply is complete.
    Complete,
}

/// One proxy instance: its decisions, and the context for decoding its messages.
struct Instance {
    router: Router,
    context: InstanceContext,
}

/// A batch of messages that share one time.
#[derive(Clone, Copy)]
struct Batch {
    now: Time,
    number: u64,
}

/// A list that has not received all its entries.
struct IncompleteList {
    number: u64,
    /// Number of entries that the list was announced with.
    length: usize,
    entries: Vec<ListEntry>,
}

/// The instances, and the batch that is being read.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, MemberList>,
    interners: NameInterners,
    /// The batch that is being read; `None` between batches.
    batch: Option<Batch>,
    /// The instance that the last INSTANCE of the batch selected.
    current_instance: Option<u64>,
    incomplete_list: Option<IncompleteList>,
    /// Actions of the last event; a field only to reuse its memory.
    actions: Vec<Action>,
    reply: String,
    /// The instance to which the latest actions of the reply belong.
    reply_instance: Option<u64>,
}

impl Adapter {
    /// Handles one message, given without its line ending.
    pub fn handle_line(&mut self, line: &str) -> Result<BatchState, MessageError> {
        let mut fields = MessageFields::new(line);
        let message = fields.message();
        if let Some(list) = self.incomplete_list.as_ref().filter(|_| message != "MEMBER") {
            let (received, length) = (list.entries.len(), list.length);
            return Err(MessageError::IncompleteList { message: message.to_string(), received, length });
        }
        if message == "TURN" {
            self.begin_batch(&mut fields)?;
            return Ok(BatchState::Incomplete);
        }
        let Some(batch) = self.batch else {
            return Err(MessageError::OutsideBatch(message.to_string()));
        };
        match message {
            "GO" => {
                self.end_batch(batch);
                return Ok(BatchState::Complete);
            }
            "INSTANCE" => self.current_instance = Some(fields.integer("driverId")?),
            "CENSUS" => self.begin_list(&mut fields)?,
            "MEMBER" => self.add_member(&mut fields)?,
            "ATTACH" => self.attach(line, batch.now)?,
            "CRASH_NOW" => {
                let instance = self.require_instance(message)?;
                self.instances.remove(&instance);
            }
            _ => self.handle_event(&mut fields, batch.now)?,
        }
        Ok(BatchState::Incomplete)
    }

    /// The number of the batch that has begun and not ended.
    pub fn open_batch(&self) -> Option<u64> {
        self.batch.map(|batch| batch.number)
    }

    /// The reply so far.
    pub fn reply(&self) -> &str {
        &self.reply
    }

    /// Clears the reply for the next batch.
    pub fn clear_reply(&mut self) {
        self.reply.clear();
    }

    /// Handles TURN, which begins a batch.
    fn begin_batch(&mut self, fields: &mut MessageFields) -> Result<(), MessageError> {
        if let Some(batch) = self.batch {
            return Err(MessageError::NestedBatch { open: batch.number });
        }
        let now = Time(fields.integer("time")?);
        let number = fields.integer("batch")?;
        self.batch = Some(Batch { now, number });
        Ok(())
    }

    /// Handles GO, which ends a batch.
    fn end_batch(&mut self, batch: Batch) {
        encode_batch_end(batch.number, &mut self.reply);
        self.batch = None;
        self.current_instance = None;
        self.reply_instance = None;
    }

    /// The instance that was selected for the next messages of the batch.
    fn require_instance(&self, message: &str) -> Result<u64, MessageError> {
        self.current_instance.ok_or_else(|| MessageError::NoInstance(message.to_string()))
    }

    /// Handles CENSUS, which announces the number and length of a list.
    fn begin_list(&mut self, fields: &mut MessageFields) -> Result<(), MessageError> {
        let number = fields.integer("sheet")?;
        let length: usize = fields.integer("lines")?;
        if length == 0 {
            self.lists.insert(number, MemberList::default());
        } else {
            let entries = Vec::with_capacity(length.min(MAX_RESERVED_ENTRIES));
            self.incomplete_list = Some(IncompleteList { number, length, entries });
        }
        Ok(())
    }

    /// Handles MEMBER, the next entry of the list that is being read.
    fn add_member(&mut self, fields: &mut MessageFields) -> Result<(), MessageError> {
        let Some(mut list) = self.incomplete_list.take() else {
            return Err(MessageError::MemberOutsideList);
        };
        list.entries.push(decode_member(fields, &mut self.interners)?);
        if list.entries.len() == list.length {
            self.lists.insert(list.number, Arc::new(list.entries));
        } else {
            self.incomplete_list = Some(list);
        }
        Ok(())
    }

    /// Handles ATTACH, which starts an instance. The profile is the rest of the line, since it may contain tabs.
    fn attach(&mut self, line: &str, now: Time) -> Result<(), MessageError> {
        let instance = self.require_instance("ATTACH")?;
        let missing = |field| MessageError::MissingField { message: "ATTACH".to_string(), field };
        let mut fields = line.splitn(3, '\t').skip(1);
        let seed = fields.next().ok_or_else(|| missing("prng"))?;
        let profile = fields.next().ok_or_else(|| missing("profileData"))?;
        let seed = parse_seed(seed)?;
        let profile: Profile = settings::parse(profile).map_err(MessageError::MalformedProfile)?;
        let site = profile.site(&mut self.interners.zones).map_err(MessageError::UnusableProfile)?;
        let router = Router::new(site.settings, seed, now);
        let context = InstanceContext {
            classes: site.classes,
            tenants: site.tenants,
            position_origin: site.position_origin,
        };
        self.instances.insert(instance, Instance { router, context });
        Ok(())
    }

    /// Handles an event for an instance, and appends its actions to the reply.
    fn handle_event(&mut self, fields: &mut MessageFields, now: Time) -> Result<(), MessageError> {
        let number = self.require_instance(fields.message())?;
        let not_attached =
            || MessageError::NotAttached { message: fields.message().to_string(), instance: number };
        let instance = self.instances.get_mut(&number).ok_or_else(not_attached)?;
        let Some(event) = decode_event(fields, &self.lists, &instance.context)? else { return Ok(()) };
        self.actions.clear();
        instance.router.handle(now, event, &mut self.actions);
        if !self.actions.is_empty() && self.reply_instance != Some(number) {
            encode_instance(number, &mut self.reply);
            self.reply_instance = Some(number);
        }
        for action in &self.actions {
            encode_action(action, &mut self.reply);
        }
        Ok(())
    }
}

/// Parses a seed of either sign, and keeps its lowest 64 bits.
fn parse_seed(text: &str) -> Result<u64, MessageError> {
    let seed = text.parse::<i128>().map_err(|_| MessageError::InvalidValue {
        message: "ATTACH".to_string(),
        field: "prng",
        expected: "an integer in range",
        value: text.to_string(),
    })?;
    Ok(seed as u64)
}
