#include "platform/relay.hpp"

#include <time.h>

#include <algorithm>

#include "platform/allocator.hpp"
#include "platform/process_usage.hpp"
#include "platform/semantics.hpp"
#include "platform/startup.hpp"
#include "text/text.hpp"

namespace cedarplank::platform {
namespace {

// Times of the shutdown, from SIGTERM; the process is killed no sooner than 3.7 s after it. Clients go on
// using their open connections, so the relay goes on accepting for a while: if it refused at once, all its
// clients would move to the other relays at the same time and stay there until it is back.
constexpr Time kAcceptFor = 2'300'000;
constexpr Time kLastRoundAfter = 2'900'000;  // no attempt is sent later: its outcome would come too late
constexpr Time kStopWithin = 3'500'000;
constexpr Time kOverdueCheckInterval = 20'000;  // between checks for overdue messages after the last round
// Standard streams, pipe, listeners, discovery, journal.
constexpr std::size_t kReservedDescriptors = 24;
// A start sends nothing by the list in its configuration, which may be old, before discovery has answered. It
// goes on with it when so many calls in a row have ended without a list, or at the latest after this time: a
// call that is not answered, the pause after it, and another one with the 2 s that it may wait at discovery.
constexpr int kListFailuresToGoOn = 2;
constexpr Time kFirstListWait = 5'000'000;
constexpr Time kMemoryCheckInterval = 1'000'000;
constexpr std::size_t kReleaseStep = 1'000'000;  // bytes of change after which free memory is given back
// Bytes of objects for a held message beyond its own, in the core, the module, the journal's image and the
// registry.
constexpr std::size_t kCopiesOfMessage = 3;
constexpr std::size_t kHeldMessageOverhead = 2 * 1024;
constexpr std::size_t kMaxDestinations = 65'536;
constexpr std::size_t kMaxLoggedIdBytes = 64;  // bytes of a client's id in a log line
constexpr const char* kRefusedText = "refused; handing it in again is harmless\n";
constexpr const char* kFailedText = "failed\n";

// The Retry-After field of a refusal; none where no time is known.
std::vector<http1::Field> retry_after_field(Time come_back) {
  if (come_back <= 0) return {};
  return {{"Retry-After", http1::format_seconds(come_back)}};
}

// How the file descriptors are divided. Endpoint connections get what the slots can use plus some idle ones,
// at most a third. The platform's clients hold at most a third; the rest is left for clients that behave
// differently.
std::size_t max_endpoint_connections(const Limits& limits, int slots) {
  const auto wanted = static_cast<std::size_t>(slots) * 8 + 32;
  return std::max<std::size_t>(std::min(limits.sockets / 3, wanted), 8);
}
std::size_t max_client_connections(const Limits& limits, int slots) {
  const std::size_t taken = max_endpoint_connections(limits, slots) + kReservedDescriptors;
  return limits.sockets > taken + 8 ? limits.sockets - taken : 8;
}

MemoryPlan plan_for(const Config& config) {
  const Limits& limits = config.limits;
  return plan_memory(limits.memory, max_client_connections(limits, config.settings.slots),
                     max_endpoint_connections(limits, config.settings.slots));
}

// By class: whether its messages may run more than once.
std::vector<bool> repeatable_classes(const Settings& settings) {
  std::vector<bool> repeatable;
  for (const auto& cls : settings.classes) repeatable.push_back(cls.effect == Effect::safe && !cls.ordered);
  return repeatable;
}

// By kind of endpoint: the most messages that a call may have.
std::vector<int> most_messages_per_call(const Settings& settings) {
  std::vector<int> most;
  for (const auto& kind : settings.kinds) most.push_back(kind.bundle_max);
  return most;
}

// What is kept of an answer to a call of several messages: a line for each is enough; more only helps where
// there is noise, as far as all slots together take no more than a quarter of the shared memory.
std::size_t bulk_answer_bytes(const MemoryPlan& plan, const Settings& settings) {
  constexpr std::size_t kLine = 256;
  std::size_t lines = 1;
  for (const auto& kind : settings.kinds) lines = std::max(lines, static_cast<std::size_t>(kind.bundle_max));
  const std::size_t share = plan.shared / 4 / static_cast<std::size_t>(std::max(settings.slots, 1));
  return std::max(lines * kLine, std::min(share, kMaxCallBody));
}

std::vector<std::string> names_by_index(const settings::NameIndex& names) {
  std::vector<std::string> out(names.size());
  for (const auto& [name, place] : names) out[static_cast<std::size_t>(place)] = name;
  return out;
}

}  // namespace

Relay::Relay(loop::Loop& loop, Config config, LogSink log, int log_lines_per_second)
    : loop_(loop),
      config_(std::move(config)),
      log_(std::move(log), log_lines_per_second),
      memory_(plan_for(config_)),
      requests_(final_answer_retention(config_.settings), memory_.plan().reserved_for_final_answers) {
  const auto& set = config_.settings;
  endpoints_ = std::make_unique<EndpointTransport>(
      loop_,
      EndpointTransport::Bounds{max_endpoint_connections(config_.limits, set.slots), set.connect_timeout,
                                set.connection_idle, set.second_copies, repeatable_classes(set),
                                most_messages_per_call(set), bulk_answer_bytes(memory_.plan(), set)},
      EndpointTransport::Host{.ended =
                                  [this](relay::CallId call, relay::CallResult ending) {
                                    core_->call_ended(loop_.refresh_now(), call, std::move(ending));
                                    schedule_turn();
                                  },
                              .log = &log_});
  notices_ = std::make_unique<NoticeSender>(
      loop_, config_.discovery,
      NoticeSender::Host{.accepted =
                             [this](MessageId id) {
                               journal_->coordinator().answer_delivered(id);
                               schedule_turn();
                             },
                         .log = [this](const std::string& text) { log_.log_text(Event::outcomes, text); }});
  discovery_ = std::make_unique<DiscoveryClient>(
      loop_, config_.discovery, config_.names, memory_.plan().list_text,
      DiscoveryClient::Host{.list =
                                [this](const Catalogue& c) {
                                  apply_list(c, false);
                                  settle_list("discovery has answered");
                                },
                            .failed = [this](DiscoveryClient::Failure how) { handle_list_failure(how); },
                            .log = [this](const std::string& text) { log_.log_text(Event::discovery, text); },
                            .unix_to_monotonic = [this] { return unix_to_monotonic(); }});
  const auto not_yet = [this](const std::string& why) {
    log_.log_text(Event::state, "not listening yet: " + why);
  };
  retry_at_start(
      [this] {
        peers_ = std::make_unique<Peers>(loop_, config_, [this](int from, std::string body) {
          core_->peer_note_received(from, std::move(body));
          schedule_turn();
        });
      },
      not_yet);
  Journal::Settings j;
  j.folder = config_.state, j.disk = config_.limits.disk;
  j.coordinator.classes = set.classes;
  class_names_ = names_by_index(config_.names.classes);
  j.coordinator.class_names = class_names_;
  j.coordinator.delivered_answers_for = final_answer_retention(set);
  j.coordinator.tenant_names = names_by_index(config_.names.tenants);
  journal_ = std::make_unique<Journal>(
      loop_, std::move(j),
      Journal::Ports{*endpoints_, *this,
                     [this](relay::CallId call, relay::CallResult ending) {
                       core_->call_ended(loop_.refresh_now(), call, std::move(ending));
                       schedule_turn();
                     },
                     [this] { schedule_turn(); }},
      [this](const std::string& text) { log_.log_text(Event::journal, text); });
  auto& coordinator = journal_->coordinator();
  attempt_log_ = std::make_unique<AttemptLog>(coordinator, log_,
                                              [this](MessageId id) { return requests_.client_id_of(id); });
  core_ = std::make_unique<relay::Core>(set, relay::make_dispatcher(set, config_.seed),
                                        relay::Core::Ports{*attempt_log_, coordinator, *discovery_, *peers_,
                                                           *this, nullptr, attempt_log_.get(), kMaxCallBody});
  if (config_.known) {
    discovery_->start_from(config_.known->index);
    apply_list(*config_.known, true);
  } else {
    // No list is known: an empty cached list makes the dispatcher request one.
    core_->list_whole({}, true);
  }
  recover();
  first_list_timer_ = loop_.after(kFirstListWait, [this] {
    first_list_timer_ = 0;
    settle_list("discovery has not answered in time");
  });
  retry_at_start(
      [&] {
        clients_ = std::make_unique<ClientConnections>(
            loop_, net::Address::parse(config_.listen), memory_.plan().client_connections, memory_,
            ClientConnections::Host{
                .request = [this](ClientConnections::ConnectionId n, http1::Message& r,
                                  ClientConnections::Input input) { handle_request(n, r, input); },
                .client_left = [this](ClientConnections::ConnectionId n,
                                      ClientConnections::ReadSide reads) { client_left(n, reads); },
                .log = [this](const std::string& text) { log_.log_text(Event::clients, text); }});
      },
      not_yet);
  watch_memory();
  run_turn();
}

Relay::~Relay() {
  loop_.cancel(timer_), loop_.cancel(memory_timer_), loop_.cancel(first_list_timer_);
  for (const auto t : stop_timers_) loop_.cancel(t);
}

Time Relay::unix_to_monotonic() const {
  const auto clock = [](clockid_t which) {
    timespec t{};
    clock_gettime(which, &t);
    return std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1'000;
  };
  return clock(CLOCK_MONOTONIC) - clock(CLOCK_REALTIME);
}

void Relay::apply_list(const Catalogue& told, bool cached) {
  const auto [catalogue, superseded] = address_owners_.resolve(told);
  endpoints_->apply_list(catalogue);
  std::vector<Endpoint> list;
  for (const auto& l : catalogue.endpoints) {
    if (destinations_.size() < kMaxDestinations) destinations_.insert(l.endpoint.destination);
    list.push_back(l.endpoint);
  }
  has_list_ = has_list_ || !destinations_.empty();
  if (catalogue.whole)
    core_->list_whole(std::move(list), cached);
  else
    core_->list_changes(std::move(list));
  for (const auto& endpoint : superseded) {
    log_.line(Event::endpoints,
              [&] { return endpoint + " counts as gone: another endpoint has its address"; });
    endpoints_->break_connections(endpoint);
  }
  schedule_turn();
}

// Guards against messages that go to the processes which have come up meanwhile at the addresses of an old
// list.
void Relay::settle_list(const char* why) {
  if (std::exchange(list_settled_, true)) return;
  loop_.cancel(first_list_timer_), first_list_timer_ = 0;
  log_.line(Event::state, [&] {
    return std::string("the list is settled: ") + why +
           ", messages recovered=" + std::to_string(recovered_.messages.size());
  });
  const journal::Recovered found = std::exchange(recovered_, {});
  for (const auto& known : found.known_endpoints) core_->restore_endpoint(known);
  const Time now = loop_.refresh_now();
  for (const auto& m : found.messages) core_->restore(now, m.id, m.message, m.deadline, m.prior_attempts);
  schedule_turn();
}

void Relay::handle_list_failure(DiscoveryClient::Failure how) {
  const bool ended = how == DiscoveryClient::Failure::ended;
  if (!list_settled_ && ended && ++failed_list_calls_ >= kListFailuresToGoOn)
    settle_list("discovery can't be reached");
  core_->list_failed();
  schedule_turn();
}

// ---- Clients ----

void Relay::handle_request(ClientConnections::ConnectionId client, http1::Message& request,
                           ClientConnections::Input input) {
  if (path_of(request.target) == "/_health") return answer_health_check(client, request);
  SubmittedMessage in;
  if (const auto unfit = read_request(request, config_.names, in)) {
    const auto* name = request.find("x-call-id");
    const auto told = name == nullptr ? std::string("-") : text::to_printable(*name, kMaxLoggedIdBytes);
    return reject(client, told, unfit->status, unfit->why);
  }
  const auto fingerprint = fingerprint_of(in.message);
  if (const auto known = requests_.find(loop_.now(), in.id, fingerprint))
    return answer_repeat(client, in.id, *known);
  submit(client, std::move(in), fingerprint, input);
}

void Relay::answer_health_check(ClientConnections::ConnectionId client, const http1::Message& request) {
  if (request.method != "GET") return reject(client, "-", 405, "only GET");
  if (const char* why = unready_reason()) return reject(client, "-", 503, why);
  clients_->answer(client, 200, {}, "ready\n");
}

const char* Relay::unready_reason() const {
  if (stopping_) return "stopping";
  if (!has_list_) return "no list is known yet";
  if (!list_settled_) return "discovery has not answered yet";
  return journal_->ended() ? "the journal accepts no more records" : nullptr;
}

void Relay::submit(ClientConnections::ConnectionId client, SubmittedMessage in, std::uint64_t fingerprint,
                   ClientConnections::Input input) {
  const auto refuse = [&](const char* why) {
    requests_.remember_refusal(loop_.now(), in.id, fingerprint);
    reject(client, in.id, 503, why);
  };
  if (core_->stopping()) return refuse("the relay is stopping");
  if (!list_settled_) return refuse("discovery has not answered yet");
  // It would be withdrawn at once. Guards against clients that send many requests and go: their messages
  // would take room in the journal.
  if (input == ClientConnections::Input::ended) return refuse("the client ended its connection");
  if (destinations_.count(in.message.destination) == 0) return refuse("no list has shown this destination");
  if (!requests_.has_room(loop_.now())) return refuse("no more final answers can be remembered now");
  if (const char* why = journal_->rejection_reason(in.message)) return refuse(why);
  if (!memory_.has_room(MemoryUse::messages, memory_of(in.message)))
    return refuse("no memory is left for it now");
  const MessageId id = next_id_;
  if (core_->accept(loop_.refresh_now(), id, std::move(in.message)) != relay::Core::AcceptStatus::accepted)
    return refuse("the relay holds all that it may");
  next_id_++;
  count_messages();
  requests_.add(loop_.now(), id, in.id, fingerprint, client);
  unacknowledged_.push_back({id, core_->rounds()});
  schedule_turn();
}

// A copy of a known request gets that request's state as its answer; nothing new is started for it.
void Relay::answer_repeat(ClientConnections::ConnectionId client, const std::string& name,
                          const RequestRegistry::KnownRequest& known) {
  const std::string state = name_of(known.state);
  const auto note = [&](const char* answer) {
    repeats_by_state_["repeated_" + state]++;
    log_.line(Event::repeated, name, [&] {
      return "state=" + state + " for_ms=" + std::to_string((loop_.now() - known.since) / 1000) +
             " answer=" + answer;
    });
  };
  if (!known.same_content) return reject(client, name, 409, "another request has this id");
  switch (known.state) {
    case RequestState::waiting:
      note("with the first");
      return requests_.add_waiter(known.id, client);
    case RequestState::accepted:
      note("202");
      return clients_->answer(client, 202, {}, {});
    case RequestState::delivered:
      note("200");
      return clients_->answer(client, 200, {}, {});
    case RequestState::returned:
      note("503");
      return clients_->answer(client, 503, retry_after_field(known.come_back - loop_.now()), kRefusedText);
    case RequestState::failed:
      note("500");
      return clients_->answer(client, 500, {}, kFailedText);
  }
}

void Relay::reject(ClientConnections::ConnectionId client, const std::string& name, int status,
                   const char* why) {
  rejected_by_reason_[why]++;
  log_.line(Event::turned_away, name,
            [&] { return "status=" + std::to_string(status) + " why=\"" + why + "\""; });
  clients_->answer(client, status, {}, std::string(why) + "\n");
}

std::uint64_t Relay::fingerprint_of(const relay::NewMessage& message) const {
  return journal::fingerprint(std::to_string(message.destination),
                              class_names_[static_cast<std::size_t>(message.message_class)], message);
}

// A message is cancelled when the last client that waited for its answer leaves. A client that still reads is
// answered only once the cancellation is durable: otherwise the relay could restart and send a message that
// was reported as ended.
void Relay::client_left(ClientConnections::ConnectionId client, ClientConnections::ReadSide reads) {
  const bool reading = reads == ClientConnections::ReadSide::open;
  if (!requests_.is_waiting_client(client)) {
    if (reading) cancelled_requests_.push_back({client, relay::FinalAnswer::refuse}), schedule_turn();
    return;
  }
  const auto left = requests_.remove_waiter(client, reading);
  if (!left) return;
  attempt_log_->forget(left->id);
  const auto final_answer = core_->withdraw(loop_.refresh_now(), left->id);
  const bool unrun = final_answer == relay::FinalAnswer::refuse;
  log_.line(Event::withdrawn, left->name,
            [&] { return std::string(unrun ? "nothing has run" : "an attempt may have run"); });
  // A message that was reported as ended, or that may have run, is remembered: a later copy of it is not a
  // new request.
  if (!unrun)
    requests_.remember_end(left->name, {RequestState::failed, left->fingerprint, loop_.now()});
  else if (!left->still_reading.empty())
    requests_.remember_refusal(loop_.now(), left->name, left->fingerprint);
  for (const auto reader : left->still_reading) cancelled_requests_.push_back({reader, final_answer});
  schedule_turn();
}

void Relay::answer_cancelled() {
  if (journal_->stalled()) return;
  for (const auto& w : std::exchange(cancelled_requests_, {})) {
    const bool unrun = w.final_answer == relay::FinalAnswer::refuse;
    clients_->answer(w.client, unrun ? 503 : 500, {},
                     "the connection ended before the message was taken on\n");
  }
}

// A message is accepted once the dispatcher has decided on it and its record would survive the process.
void Relay::acknowledge_accepted() {
  using Record = journal::JournalCoordinator::AcceptanceRecord;
  auto waiting = std::move(unacknowledged_);
  unacknowledged_.clear();
  for (const auto& w : waiting) {
    if (!requests_.is_waiting(w.id)) continue;  // answered or cancelled meanwhile
    const bool undecided = w.round == core_->rounds() && !no_more_rounds_;
    // While the journal can't be written, part of the record may be on disk, so the message can't be reported
    // as not accepted either: its client waits until it gives up by itself, or hears the final answer.
    const bool recorded = journal_->coordinator().acceptance_record(w.id) == Record::durable;
    if (undecided || journal_->stalled() || !recorded) {
      unacknowledged_.push_back(w);
      continue;
    }
    for (const auto client : requests_.accept(loop_.now(), w.id)) clients_->answer(client, 202, {}, {});
  }
}

RequestRegistry::EndedRequest Relay::record_end(MessageId id, RequestState how, Time come_back) {
  attempt_log_->forget(id);
  return requests_.finish(loop_.now(), id, how, come_back);
}

void Relay::served(MessageId id, const relay::CallResult&) {
  for (const auto client : record_end(id, RequestState::delivered).unanswered)
    clients_->answer(client, 200, {}, {});
  journal_->coordinator().answer_delivered(id);
}

void Relay::log_end(const RequestRegistry::EndedRequest& ended, RequestState state,
                    const relay::AttemptSummary& account) {
  log_.line(Event::ended, ended.name, [&] {
    return std::string("state=") + name_of(state) +
           " told=" + (ended.unanswered.empty() ? "notice" : "answer") +
           " attempts=" + std::to_string(account.attempts) + " last=\"" + account.last_outcome + "\" why=\"" +
           account.reason + "\"";
  });
}

void Relay::refused(MessageId id, Time come_back, const relay::AttemptSummary& account) {
  const auto ended = record_end(id, RequestState::returned, come_back > 0 ? loop_.now() + come_back : 0);
  if (ended.name.empty()) return journal_->coordinator().answer_delivered(id);  // its client left meanwhile
  log_end(ended, RequestState::returned, account);
  if (ended.unanswered.empty()) return notices_->add(id, returned_notice(ended.name, come_back));
  for (const auto client : ended.unanswered)
    clients_->answer(client, 503, retry_after_field(come_back), kRefusedText);
  journal_->coordinator().answer_delivered(id);
}

void Relay::failed(MessageId id, const relay::AttemptSummary& account) {
  const auto ended = record_end(id, RequestState::failed);
  if (ended.name.empty()) return journal_->coordinator().answer_delivered(id);
  log_end(ended, RequestState::failed, account);
  if (ended.unanswered.empty()) return notices_->add(id, failed_notice(ended.name));
  for (const auto client : ended.unanswered) clients_->answer(client, 500, {}, kFailedText);
  journal_->coordinator().answer_delivered(id);
}

// ---- Turns ----

void Relay::schedule_turn() {
  if (turn_scheduled_) return;
  turn_scheduled_ = true;
  loop_.defer([this, weak = std::weak_ptr(alive_)] {
    if (weak.expired()) return;
    turn_scheduled_ = false;
    run_turn();
  });
}

// Runs a round of the dispatcher if one is due, commits its records to the journal, releases what waited for
// them, and sends the ordered calls, all within this turn.
void Relay::run_turn() {
  if (!no_more_rounds_)
    core_->run_due(loop_.refresh_now());
  else
    core_->end_overdue(loop_.refresh_now());
  journal_->commit();
  endpoints_->flush();
  acknowledge_accepted();
  answer_cancelled();
  loop_.cancel(timer_), timer_ = 0;
  if (!no_more_rounds_) {
    const Time due = core_->next_due();
    if (due < std::numeric_limits<Time>::max())
      timer_ = loop_.at(due, [this] {
        timer_ = 0;
        run_turn();
      });
  }
  if (no_more_rounds_ && on_stopped_) {
    // Ends messages at their deadline. Guards against an answer that comes after the message's deadline and
    // is taken as its final answer: nobody counts it, and the next run would not know that a notice is still
    // due.
    timer_ = loop_.after(kOverdueCheckInterval, [this] {
      timer_ = 0;
      run_turn();
    });
  }
  if (stopping_) check_stopped();
}

// Of a message its bytes are held by the message itself, by its record on the way to the log, and by a call.
std::size_t Relay::memory_of(const relay::NewMessage& message) {
  return kCopiesOfMessage * journal::StateImage::approximate_bytes_of(message) + kHeldMessageOverhead;
}

void Relay::count_messages() {
  memory_.set(MemoryUse::messages,
              kCopiesOfMessage * journal_->image().approximate_bytes() +
                  journal_->image().held().size() * kHeldMessageOverhead +
                  journal_->image().delivered_answers().size() * journal::StateImage::kDeliveredAnswerMemory);
}

void Relay::count_memory() {
  count_messages();
  memory_.set(MemoryUse::final_answers, requests_.memory());
  memory_.set(MemoryUse::endpoints, endpoints_->memory());
  memory_.set(MemoryUse::list, endpoints_->listed() * MemoryPlan::kListedEndpointBytes);
}

void Relay::watch_memory() {
  memory_timer_ = loop_.after(kMemoryCheckInterval, [this] { watch_memory(); });
  count_memory();
  const ProcessUsage usage = release_unused_memory();
  if (usage.resident <= config_.limits.memory / 4 * 3) return;
  log_.line(Event::memory, [&] {
    std::string text = "resident=" + std::to_string(usage.resident) +
                       " limit=" + std::to_string(config_.limits.memory) +
                       " counted=" + std::to_string(memory_.used());
    for (std::size_t use = 0; use < kMemoryUses; use++)
      text += std::string(" ") + name_of(static_cast<MemoryUse>(use)) + "=" +
              std::to_string(memory_.used(static_cast<MemoryUse>(use)));
    return text + " clients=" + std::to_string(clients_->connections()) +
           " unfinished=" + std::to_string(clients_->unfinished().requests) +
           " descriptors=" + std::to_string(usage.descriptors);
  });
}

ProcessUsage Relay::release_unused_memory() {
  const ProcessUsage usage = read_process_usage();
  const bool grown = usage.resident >= last_release_.resident + kReleaseStep;
  const bool fallen = memory_.used() + kReleaseStep <= last_release_.used;
  if (!grown && !fallen) return usage;
  release_free_memory();
  const ProcessUsage left = read_process_usage();
  last_release_ = {left.resident, memory_.used()};
  return left;
}

void Relay::reload(const Config& config) {
  if (config.discovery == config_.discovery) return log_.log_text(Event::reloaded, "nothing has changed");
  config_.discovery = config.discovery;
  discovery_->set_address(config.discovery);
  notices_->set_address(config.discovery);
  log_.log_text(Event::reloaded, "discovery is at " + config.discovery);
}

void Relay::stop(std::function<void()> stopped) {
  if (stopping_) return;
  stopping_ = true, on_stopped_ = std::move(stopped);
  log_.log_text(Event::state,
                "stopping: accepts messages for " + std::to_string(kAcceptFor / 1000) + " ms more");
  clients_->keep_single_use();
  stop_timers_.push_back(loop_.after(kAcceptFor, [this] {
    log_.line(Event::state,
              [&] { return "accepts no more messages, held=" + std::to_string(core_->held()); });
    core_->stop_accepting();
    clients_->drain();
  }));
  stop_timers_.push_back(loop_.after(kLastRoundAfter, [this] {
    log_.line(Event::state, [&] {
      return "last round, held=" + std::to_string(core_->held()) +
             " calls_out=" + std::to_string(endpoints_->calls_out());
    });
    no_more_rounds_ = true;
    run_turn();
  }));
  stop_timers_.push_back(loop_.after(kStopWithin, [this] {
    if (on_stopped_) std::exchange(on_stopped_, nullptr)();
  }));
  schedule_turn();
}

void Relay::check_stopped() {
  const bool nothing_out =
      endpoints_->calls_out() == 0 && notices_->empty() && unacknowledged_.empty() && !journal_->stalled();
  if (!on_stopped_ || !nothing_out || (!no_more_rounds_ && core_->held() > 0)) return;
  // Not before the last round: clients that still connect are answered until then.
  if (no_more_rounds_) std::exchange(on_stopped_, nullptr)();
}

}  // namespace cedarplank::platform
