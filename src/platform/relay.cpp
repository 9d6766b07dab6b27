#include "platform/relay.hpp"

#include <time.h>

#include <algorithm>

#include "platform/semantics.hpp"
#include "platform/startup.hpp"

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
constexpr std::size_t kMaxDestinations = 65'536;
constexpr std::size_t kMaxLoggedIdBytes = 64;  // bytes of a client's id in a log line
constexpr const char* kRefusedText = "refused; handing it in again is harmless\n";
constexpr const char* kFailedText = "failed\n";

// The Retry-After field of a refusal; none where no time is known.
std::vector<http1::Field> retry_after_field(Time come_back) {
  if (come_back <= 0) return {};
  return {{"Retry-After", http1::seconds_text(come_back)}};
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

std::vector<std::string> names_by_index(const settings::Names& names) {
  std::vector<std::string> out(names.size());
  for (const auto& [name, place] : names) out[static_cast<std::size_t>(place)] = name;
  return out;
}

}  // namespace

Relay::Relay(loop::Loop& loop, Config config, LogSink log)
    : loop_(loop), config_(std::move(config)), log_(std::move(log)), requests_(ends_kept(config_.settings)) {
  const auto& set = config_.settings;
  endpoints_ = std::make_unique<Endpoints>(
      loop_,
      Endpoints::Bounds{max_endpoint_connections(config_.limits, set.slots), set.connect_timeout,
                        set.connection_idle, set.second_copies},
      Endpoints::Host{.ended =
                          [this](relay::CallId call, relay::Ending ending) {
                            core_->call_ended(loop_.refresh(), call, std::move(ending));
                            poke();
                          },
                      .log = [this](const std::string& text) { log_.say(Event::endpoints, text); }});
  outcomes_ = std::make_unique<Outcomes>(
      loop_, config_.discovery,
      Outcomes::Host{.accepted =
                         [this](MessageId id) {
                           journal_->keeper().handed_over(id);
                           poke();
                         },
                     .log = [this](const std::string& text) { log_.say(Event::outcomes, text); }});
  discovery_ = std::make_unique<Discovery>(
      loop_, config_.discovery, config_.names,
      Discovery::Host{.list = [this](const Catalogue& c) { list(c, false); },
                      .failed =
                          [this] {
                            core_->list_failed();
                            poke();
                          },
                      .log = [this](const std::string& text) { log_.say(Event::discovery, text); },
                      .unix_to_module = [this] { return unix_to_module(); }});
  const auto not_yet = [this](const std::string& why) {
    log_.say(Event::state, "not listening yet: " + why);
  };
  retry_at_start(
      [this] {
        peers_ = std::make_unique<Peers>(loop_, config_, [this](int from, std::string body) {
          core_->note(from, std::move(body));
          poke();
        });
      },
      not_yet);
  Journal::Settings j;
  j.folder = config_.state, j.disk = config_.limits.disk;
  j.keeper.classes = set.classes;
  class_names_ = names_by_index(config_.names.classes);
  j.keeper.class_names = class_names_;
  j.keeper.ends_for = ends_kept(set);
  j.keeper.tenant_names = names_by_index(config_.names.tenants);
  journal_ =
      std::make_unique<Journal>(loop_, std::move(j),
                                Journal::Ends{*endpoints_, *this,
                                              [this](relay::CallId call, relay::Ending ending) {
                                                core_->call_ended(loop_.refresh(), call, std::move(ending));
                                                poke();
                                              },
                                              [this] { poke(); }},
                                [this](const std::string& text) { log_.say(Event::journal, text); });
  auto& coordinator = journal_->keeper();
  attempts_ =
      std::make_unique<AttemptLog>(coordinator, log_, [this](MessageId id) { return requests_.name_of(id); });
  core_ = std::make_unique<relay::Core>(
      set, relay::make_dispatcher(set, config_.seed),
      relay::Core::Ports{*attempts_, coordinator, *discovery_, *peers_, *this, nullptr, attempts_.get()});
  if (config_.known) {
    discovery_->start_from(config_.known->index);
    list(*config_.known, true);
  } else {
    // No list is known: an empty cached list makes the dispatcher request one.
    core_->list_whole({}, true);
  }
  recover();
  retry_at_start(
      [&] {
        clients_ = std::make_unique<Clients>(
            loop_, net::Address::parse(config_.listen), max_client_connections(config_.limits, set.slots),
            Clients::Host{.request = [this](Clients::Number n, http1::Message& r) { request(n, r); },
                          .gone = [this](Clients::Number n, Clients::Reads reads) { gone(n, reads); },
                          .log = [this](const std::string& text) { log_.say(Event::clients, text); }});
      },
      not_yet);
  turn();
}

Relay::~Relay() {
  loop_.cancel(timer_);
  for (const auto t : stop_timers_) loop_.cancel(t);
}

Time Relay::unix_to_module() const {
  const auto clock = [](clockid_t which) {
    timespec t{};
    clock_gettime(which, &t);
    return std::int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1'000;
  };
  return clock(CLOCK_MONOTONIC) - clock(CLOCK_REALTIME);
}

void Relay::list(const Catalogue& catalogue, bool cached) {
  endpoints_->learn(catalogue);
  std::vector<Endpoint> list;
  for (const auto& l : catalogue.endpoints) {
    if (destinations_.size() < kMaxDestinations) destinations_.insert(l.endpoint.destination);
    list.push_back(l.endpoint);
  }
  listed_ = listed_ || !destinations_.empty();
  if (catalogue.whole)
    core_->list_whole(std::move(list), cached);
  else
    core_->list_changes(std::move(list));
  poke();
}

// ---- Clients ----

void Relay::request(Clients::Number client, http1::Message& request) {
  if (path_of(request.target) == "/_health") return health(client, request);
  HandedIn in;
  if (const auto unfit = read_request(request, config_.names, in)) {
    const auto* name = request.find("x-call-id");
    const auto told = name == nullptr ? std::string("-") : name->substr(0, kMaxLoggedIdBytes);
    return turn_away(client, told, unfit->status, unfit->why);
  }
  const auto fingerprint = fingerprint_of(in.message);
  if (const auto known = requests_.find(loop_.now(), in.id, fingerprint))
    return answer_known(client, in.id, *known);
  take(client, std::move(in), fingerprint);
}

void Relay::health(Clients::Number client, const http1::Message& request) {
  if (request.method != "GET") return turn_away(client, "-", 405, "only GET");
  if (ready()) return clients_->answer(client, 200, {}, "ready\n");
  turn_away(client, "-", 503, stopping_ ? "stopping" : "no list is known yet");
}

void Relay::take(Clients::Number client, HandedIn in, std::uint64_t fingerprint) {
  const auto refuse = [&](const char* why) {
    requests_.remember(loop_.now(), in.id, fingerprint, RequestState::returned);
    turn_away(client, in.id, 503, why);
  };
  if (core_->stopping()) return refuse("the relay is stopping");
  if (destinations_.count(in.message.destination) == 0) return refuse("no list has shown this destination");
  if (const char* why = journal_->no_room(in.message.body.size())) return refuse(why);
  const MessageId id = next_id_;
  if (core_->take(loop_.refresh(), id, std::move(in.message)) != relay::Core::Taken::yes)
    return refuse("the relay holds all that it may");
  next_id_++;
  requests_.take(loop_.now(), id, in.id, fingerprint, client);
  waiting_.push_back({id, core_->rounds()});
  poke();
}

// A copy of a known request gets that request's state as its answer; nothing new is started for it.
void Relay::answer_known(Clients::Number client, const std::string& name,
                         const RequestRegistry::Known& known) {
  const std::string state = name_of(known.state);
  const auto note = [&](const char* answer) {
    repeated_["repeated_" + state]++;
    log_.line(Event::repeated, name, [&] {
      return "state=" + state + " for_ms=" + std::to_string((loop_.now() - known.since) / 1000) +
             " answer=" + answer;
    });
  };
  if (!known.same) return turn_away(client, name, 409, "another request has this id");
  switch (known.state) {
    case RequestState::waiting:
      note("with the first");
      return requests_.join(known.id, client);
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

void Relay::turn_away(Clients::Number client, const std::string& name, int status, const char* why) {
  turned_away_[why]++;
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
void Relay::gone(Clients::Number client, Clients::Reads reads) {
  const bool reading = reads == Clients::Reads::still;
  if (!requests_.waits(client)) {
    if (reading) withdrawn_.push_back({client, relay::Fate::refuse}), poke();
    return;
  }
  const auto left = requests_.leave(client, reading);
  if (!left) return;
  attempts_->forget(left->id);
  const auto fate = core_->withdraw(loop_.refresh(), left->id);
  const bool unrun = fate == relay::Fate::refuse;
  log_.line(Event::withdrawn, left->name,
            [&] { return std::string(unrun ? "nothing has run" : "an attempt may have run"); });
  // A message that was reported as ended, or that may have run, is remembered: a later copy of it is not a
  // new request.
  if (!unrun || !left->reading.empty())
    requests_.remember(loop_.now(), left->name, left->fingerprint,
                       unrun ? RequestState::returned : RequestState::failed);
  for (const auto reader : left->reading) withdrawn_.push_back({reader, fate});
  poke();
}

void Relay::answer_withdrawn() {
  if (journal_->stalled()) return;
  for (const auto& w : std::exchange(withdrawn_, {})) {
    const bool unrun = w.fate == relay::Fate::refuse;
    clients_->answer(w.client, unrun ? 503 : 500, {},
                     "the connection ended before the message was taken on\n", true);
  }
}

// A message is accepted once the dispatcher has decided on it and its record would survive the process.
void Relay::answer_taken() {
  auto waiting = std::move(waiting_);
  waiting_.clear();
  for (const auto& w : waiting) {
    if (!requests_.is_waiting(w.id)) continue;  // answered or cancelled meanwhile
    const bool undecided = w.round == core_->rounds() && !frozen_;
    // While the journal can't be written, part of the record may be on disk, so the message can't be reported
    // as not accepted either: its client waits until it gives up by itself.
    if (undecided || journal_->stalled()) {
      waiting_.push_back(w);
      continue;
    }
    for (const auto client : requests_.accept(loop_.now(), w.id)) clients_->answer(client, 202, {}, {});
  }
}

RequestRegistry::Ended Relay::end(MessageId id, RequestState how, Time come_back) {
  attempts_->forget(id);
  return requests_.end(loop_.now(), id, how, come_back);
}

void Relay::served(MessageId id, const relay::Ending&) {
  for (const auto client : end(id, RequestState::delivered).waiting) clients_->answer(client, 200, {}, {});
  journal_->keeper().handed_over(id);
}

void Relay::log_end(const RequestRegistry::Ended& ended, RequestState state, const relay::Account& account) {
  log_.line(Event::ended, ended.name, [&] {
    return std::string("state=") + name_of(state) + " told=" + (ended.waiting.empty() ? "notice" : "answer") +
           " attempts=" + std::to_string(account.attempts) + " last=\"" + account.last + "\" why=\"" +
           account.why + "\"";
  });
}

void Relay::refused(MessageId id, Time come_back, const relay::Account& account) {
  const auto ended = end(id, RequestState::returned, come_back > 0 ? loop_.now() + come_back : 0);
  if (ended.name.empty()) return journal_->keeper().handed_over(id);  // its client left meanwhile
  log_end(ended, RequestState::returned, account);
  if (ended.waiting.empty()) return outcomes_->add(id, returned_notice(ended.name, come_back));
  for (const auto client : ended.waiting)
    clients_->answer(client, 503, retry_after_field(come_back), kRefusedText);
  journal_->keeper().handed_over(id);
}

void Relay::failed(MessageId id, const relay::Account& account) {
  const auto ended = end(id, RequestState::failed);
  if (ended.name.empty()) return journal_->keeper().handed_over(id);
  log_end(ended, RequestState::failed, account);
  if (ended.waiting.empty()) return outcomes_->add(id, failed_notice(ended.name));
  for (const auto client : ended.waiting) clients_->answer(client, 500, {}, kFailedText);
  journal_->keeper().handed_over(id);
}

// ---- Turns ----

void Relay::poke() {
  if (poked_) return;
  poked_ = true;
  loop_.defer([this, weak = std::weak_ptr(alive_)] {
    if (weak.expired()) return;
    poked_ = false;
    turn();
  });
}

// Runs a round of the dispatcher if one is due, commits its records to the journal, releases what waited for
// them, and sends the ordered calls, all within this turn.
void Relay::turn() {
  if (!frozen_)
    core_->turn(loop_.refresh());
  else
    core_->end_overdue(loop_.refresh());
  journal_->commit();
  endpoints_->flush();
  answer_taken();
  answer_withdrawn();
  loop_.cancel(timer_), timer_ = 0;
  if (!frozen_) {
    const Time due = core_->next_due();
    if (due < std::numeric_limits<Time>::max())
      timer_ = loop_.at(due, [this] {
        timer_ = 0;
        turn();
      });
  }
  if (frozen_ && stopped_) {
    // Ends messages at their deadline. Guards against an answer that comes after the message's deadline and
    // is taken as its final answer: nobody counts it, and the next run would not know that a notice is still
    // due.
    timer_ = loop_.after(kOverdueCheckInterval, [this] {
      timer_ = 0;
      turn();
    });
  }
  if (stopping_) check_stopped();
}

void Relay::reload(const Config& config) {
  if (config.discovery == config_.discovery) return log_.say(Event::reloaded, "nothing has changed");
  config_.discovery = config.discovery;
  discovery_->move_to(config.discovery);
  outcomes_->move_to(config.discovery);
  log_.say(Event::reloaded, "discovery is at " + config.discovery);
}

void Relay::stop(std::function<void()> stopped) {
  if (stopping_) return;
  stopping_ = true, stopped_ = std::move(stopped);
  log_.say(Event::state, "stopping: accepts messages for " + std::to_string(kAcceptFor / 1000) + " ms more");
  clients_->keep_all();
  stop_timers_.push_back(loop_.after(kAcceptFor, [this] {
    log_.line(Event::state,
              [&] { return "accepts no more messages, held=" + std::to_string(core_->held()); });
    core_->stop_taking();
    clients_->drain();
  }));
  stop_timers_.push_back(loop_.after(kLastRoundAfter, [this] {
    log_.line(Event::state, [&] {
      return "last round, held=" + std::to_string(core_->held()) +
             " calls_out=" + std::to_string(endpoints_->calls_out());
    });
    frozen_ = true;
    turn();
  }));
  stop_timers_.push_back(loop_.after(kStopWithin, [this] {
    if (stopped_) std::exchange(stopped_, nullptr)();
  }));
  poke();
}

void Relay::check_stopped() {
  const bool nothing_out =
      endpoints_->calls_out() == 0 && outcomes_->empty() && waiting_.empty() && !journal_->stalled();
  if (!stopped_ || !nothing_out || (!frozen_ && core_->held() > 0)) return;
  // Not before the last round: clients that still connect are answered until then.
  if (frozen_) std::exchange(stopped_, nullptr)();
}

}  // namespace cedarplank::platform
