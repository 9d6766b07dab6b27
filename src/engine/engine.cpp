// cedarplank::delivery::Engine: threads and queues around one node::Node.
//
// There are three kinds of thread. The host program's threads submit commands through a lock-free queue. Only
// the loop thread uses the node. The answer thread runs callbacks, so that a callback that blocks does not
// delay deliveries. With Threading::host, run_once() does the work of the last two. Impl outlives the Engine
// while a thread still uses it, which happens when the Engine is destroyed inside a callback.
#include <concurrentqueue/blockingconcurrentqueue.h>
#include <concurrentqueue/concurrentqueue.h>
#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "cedarplank/delivery.hpp"
#include "engine/engine_access.hpp"
#include "engine/lifecycle.hpp"
#include "node/node.hpp"
#include "relay/request_validator.hpp"

namespace cedarplank::delivery {
namespace {

// Commands processed in one turn of the loop, so that the loop's other work is not starved.
constexpr std::size_t kCommandsPerTurn = 1024;
// While stopping: how long to wait until the servers have written their clients' answers.
constexpr Time kWriteAnswersTimeout = 2'000'000;

// From a thread of the host program to the loop thread.
struct Command {
  enum class Kind { submit, withdraw, call } kind = Kind::submit;
  Ticket ticket = 0;
  relay::NewMessage message;
  std::string destination;
  Callback callback;
  std::function<void()> call;
};
// An answer for the answer thread.
struct CallbackAnswer {
  Answer answer;
  Callback callback;
  MessageId journaled = 0;  // the journal keeps the answer until it is delivered; 0: it does not keep it
};
// An answer in the completion queue.
struct QueuedAnswer {
  Answer answer;
  MessageId journaled = 0;
};

// The owner of a message in the journal: "ticket:" and the number.
constexpr std::string_view kOwnerPrefix = "ticket:";
std::string owner_of(Ticket ticket) { return std::string(kOwnerPrefix) + std::to_string(ticket); }
Ticket ticket_of(const std::string& owner) {  // 0: not a ticket
  return owner.rfind(kOwnerPrefix, 0) == 0 ? std::strtoull(owner.c_str() + kOwnerPrefix.size(), nullptr, 10)
                                           : 0;
}

}  // namespace

struct Engine::Impl : std::enable_shared_from_this<Engine::Impl>, relay::AnswerSink {
  Impl(config::RelaySettings s, Options o, node::Node::DeciderFactory d)
      : settings(std::move(s)),
        options(std::move(o)),
        decider_factory(std::move(d)),
        intake(settings),
        pid(getpid()) {
    if (options.held_max == 0) options.held_max = static_cast<std::size_t>(settings.dispatcher.open_max);
    // The limit of the buffer is enforced at submission, so that an accepted message does not find the core
    // full.
    int fds[2];
    if (pipe2(fds, O_NONBLOCK | O_CLOEXEC) != 0)
      throw std::system_error(errno, std::generic_category(), "completion descriptor");
    ready_read = net::Fd(fds[0]), ready_write = net::Fd(fds[1]);
  }

  config::RelaySettings settings;
  Options options;
  node::Node::DeciderFactory decider_factory;
  const relay::RequestValidator intake;
  const pid_t pid;

  // ---- Shared between threads. ----
  std::atomic<State> state{State::opening};
  std::atomic<Ticket> next_ticket{1};
  // Messages submitted whose answers are not delivered yet; answers in the completion queue; calls of
  // submit() in progress.
  std::atomic<std::size_t> held{0}, unread{0}, submitting{0};
  // A wake-up is posted to the loop; the completion descriptor is readable.
  std::atomic<bool> wake_posted{false}, ready_signalled{false};
  moodycamel::ConcurrentQueue<Command> commands;
  moodycamel::ConcurrentQueue<QueuedAnswer> completions;
  // Delivered answers, which the journal need not keep any longer.
  moodycamel::ConcurrentQueue<MessageId> delivered_answers;
  // Answers for the answer thread; nullopt: it ends.
  moodycamel::BlockingConcurrentQueue<std::optional<CallbackAnswer>> callbacks;
  net::Fd ready_read, ready_write;
  std::atomic<std::uint64_t> submitted{0}, final_counts[5]{}, callback_errors{0};  // answers, by Final
  std::mutex mutex;
  std::condition_variable changed;  // the state, or the capacity for submissions
  std::atomic<int> waiting_submitters{0};
  std::thread loop_thread, answer_thread;
  std::string bound_address, bound_smpp_address;  // addresses on which the servers listen

  // ---- Used by the loop thread only. ----
  loop::Loop loop;
  std::unique_ptr<node::Node> node;
  struct Pending {  // a message that has no answer yet
    Ticket ticket = 0;
    Callback callback;
    Time since = 0;
    DestinationId destination = 0;
    int message_class = 0;
  };
  std::unordered_map<MessageId, Pending> pending;
  std::map<Ticket, MessageId> by_ticket;
  std::vector<Ticket> withdrawals;  // requested, processed when the command queue is empty
  loop::TimerId deadline_timer = 0;
  Time deadline = 0;
  std::uint64_t callbacks_queued = 0;                // answers passed to the answer thread, since the start
  std::atomic<std::uint64_t> callbacks_finished{0};  // of these, the ones whose callbacks have returned
  bool closed = false;
  // Threading::host: callbacks that are running now. They are left out of the wait for callbacks to finish,
  // since one of them may be what stops the engine.
  std::uint64_t callbacks_running = 0;

  // Whether this is a forked child of the process that opened the engine.
  bool forked() const { return getpid() != pid; }

  void log(const char* event, const std::string& text) {
    if (options.log) options.log(event, text);
  }

  // Wake-ups are coalesced: at most one is posted until the loop has processed it.
  void wake() {
    if (wake_posted.exchange(true)) return;
    loop.post([self = weak_from_this()] {
      if (const auto impl = self.lock()) impl->process_commands();
    });
  }

  void start() {
    node = std::make_unique<node::Node>(
        loop, settings, [this](const char* event, const std::string& text) { log(event, text); },
        decider_factory, options.serve,
        node::Node::RecoveryHandler{
            .held = [this](MessageId id, const std::string& owner) { return adopt_held(id, owner); },
            .answered = [this](const journal::record::Answered& a) { redeliver_answer(a); }});
    bound_address = node->address(), bound_smpp_address = node->smpp_address();
    apply(engine::Input::opened);
    if (options.threading == Options::Threading::host) return;
    // The threads share ownership of Impl: when an Engine is destroyed inside a callback, they end on their
    // own.
    loop_thread = std::thread([self = shared_from_this()] {
      while (!self->closed) self->loop.run_once(-1);
      self->node.reset();
    });
    answer_thread = std::thread([self = shared_from_this()] {
      std::optional<CallbackAnswer> done;
      for (;;) {
        self->callbacks.wait_dequeue(done);
        if (!done) return;
        self->run_callback(*done);
        self->callbacks_finished++;
        if (self->state.load() == State::stopping) self->wake();
      }
    });
  }

  void run_callback(CallbackAnswer& done) {
    try {
      done.callback(done.answer);
    } catch (const std::exception& e) {
      callback_errors++;
      log("callback", std::string("threw: ") + e.what());
    } catch (...) {
      callback_errors++;
      log("callback", "threw something that is no exception");
    }
    done.callback = nullptr;  // what it captured is destroyed on this thread
    release();
    answer_delivered(done.journaled);
  }
  // The answer was delivered, so the journal need not keep it. May be called from any thread.
  void answer_delivered(MessageId journaled) {
    if (journaled == 0) return;
    delivered_answers.enqueue(journaled);
    wake();
  }
  void release_delivered_answers() {
    for (MessageId id; delivered_answers.try_dequeue(id);) node->answer_delivered(id);
  }

  // One message fewer counts against held_max.
  void release() {
    held--;
    if (waiting_submitters.load() == 0) return;
    const std::lock_guard lock(mutex);
    changed.notify_all();
  }

  // One step of the life cycle. Called on the loop thread, or before it runs.
  void apply(engine::Input input) {
    const auto s = engine::step(state.load(), input);
    const bool moved = s.next != state.load();
    {
      const std::lock_guard lock(mutex);
      state = s.next;
    }
    if (moved) changed.notify_all();
    if (s.stop_accepting && node) {
      // Messages submitted before a drain are still delivered, including those that are still in the command
      // queue.
      if (s.next == State::draining) flush_commands();
      node->stop_accepting();
    }
    if (s.end_all) end_all();
    if (s.close) close();
  }

  // Sets the drain deadline, unless an earlier one is set.
  void arm_drain_deadline(Time within) {
    const Time at = loop.refresh_now() + std::max<Time>(0, within);
    if (deadline_timer != 0 && deadline <= at) return;
    loop.cancel(deadline_timer);
    deadline = at;
    deadline_timer = loop.at(at, [this] {
      deadline_timer = 0;
      apply(engine::Input::drain_deadline);
    });
  }

  void end_all() {
    flush_commands();
    node->end_all();
    loop.defer([this] { check_stopped(0); });
  }

  // While stopping: repeats until all callbacks have returned and the servers have written their answers.
  void check_stopped(Time waited) {
    if (state.load() != State::stopping) return;
    const bool all_handed = callbacks_finished.load() + callbacks_running == callbacks_queued;
    const bool written = waited > kWriteAnswersTimeout || node->drained();
    if (all_handed && written) return apply(engine::Input::all_answered);
    loop.after(2'000, [this, waited] { check_stopped(waited + 2'000); });
  }

  void close() {
    closed = true;
    release_delivered_answers();
    const auto& c = node->core().counts();
    log("counts", "taken " + std::to_string(c.accepted) + ", served " + std::to_string(c.served) +
                      ", refused " + std::to_string(c.refused) + ", failed " + std::to_string(c.failed) +
                      ", withdrawn " + std::to_string(c.withdrawn));
    callbacks.enqueue(std::nullopt);
  }

  void answered(MessageId id, Answer answer) {
    const auto it = pending.find(id);
    if (it == pending.end()) return;
    answer.ticket = it->second.ticket;
    by_ticket.erase(it->second.ticket);
    Callback callback = std::move(it->second.callback);
    pending.erase(it);
    deliver(std::move(answer), std::move(callback), settings.journal ? id : 0);
  }

  // ---- Messages that an earlier run accepted ----
  // One that is still held: its answer goes to this engine if its owner is a ticket.
  relay::AnswerSink* adopt_held(MessageId id, const std::string& owner) {
    const Ticket ticket = ticket_of(owner);
    if (ticket == 0) return nullptr;
    next_ticket = std::max(next_ticket.load(), ticket + 1);
    held++;
    pending[id] = {ticket, options.recovered, loop.now(), 0, 0};
    by_ticket[ticket] = id;
    return this;
  }
  // One that has its answer, which was not delivered before that run ended.
  void redeliver_answer(const journal::record::Answered& a) {
    const Ticket ticket = ticket_of(a.owner);
    if (ticket == 0) return;
    next_ticket = std::max(next_ticket.load(), ticket + 1);
    held++;
    const Final final = a.verdict == journal::record::Verdict::served    ? Final::served
                        : a.verdict == journal::record::Verdict::refused ? Final::refused
                                                                         : Final::failed;
    deliver({ticket, final, a.come_back, a.attempts, a.last}, options.recovered, a.id);
  }
  // While draining: repeats until nothing is held.
  void check_drained() {
    if (state.load() == State::draining && submitting.load() == 0 && pending.empty() &&
        commands.size_approx() == 0 && node->drained())
      apply(engine::Input::nothing_held);
    else if (state.load() == State::draining)
      loop.after(5'000, [this] { check_drained(); });
  }
  void deliver(Answer answer, Callback callback, MessageId journaled = 0) {
    final_counts[static_cast<int>(answer.final)]++;
    if (callback) {
      callbacks_queued++;
      callbacks.enqueue(CallbackAnswer{std::move(answer), std::move(callback), journaled});
      return;
    }
    unread++;
    completions.enqueue({std::move(answer), journaled});
    signal_ready();
  }
  // Makes the completion descriptor readable.
  void signal_ready() {
    if (ready_signalled.exchange(true)) return;
    const char byte = 'a';
    [[maybe_unused]] const auto n = write(ready_write.get(), &byte, 1);
  }

  void served(MessageId id, const relay::CallResult& e) override {
    answered(id, {0, Final::served, 0, 0, e.detail});
  }
  void refused(MessageId id, Time come_back, const relay::AttemptSummary& a) override {
    answered(id, {0, Final::refused, come_back, a.attempts, a.last_outcome});
  }
  void failed(MessageId id, const relay::AttemptSummary& a) override {
    answered(id, {0, Final::failed, 0, a.attempts, a.last_outcome});
  }

  void process_commands() {
    // An exchange synchronizes with the threads that set the flag: what they queued before that is seen
    // below.
    wake_posted.exchange(false);
    release_delivered_answers();
    Command batch[64];
    for (std::size_t n = 0, got = 0; n < kCommandsPerTurn; n += got) {
      got = commands.try_dequeue_bulk(batch, 64);
      if (got == 0) return process_withdrawals();
      for (std::size_t i = 0; i < got; i++) process_command(std::move(batch[i]));
    }
    wake();  // there may be more: continues after the loop's other work
  }
  // Processes the whole command queue. To be called after the state has changed: no submission can begin
  // then, and those in progress are waited for.
  void flush_commands() {
    while (submitting.load() != 0) std::this_thread::yield();
    Command command;
    while (commands.try_dequeue(command)) process_command(std::move(command));
    process_withdrawals();
  }
  // Called only when the command queue was empty: the queue keeps no order between threads, so a ticket's
  // submission may come out after another thread's withdrawal of it.
  void process_withdrawals() {
    const auto tickets = std::exchange(withdrawals, {});
    for (const Ticket ticket : tickets) {
      const auto it = by_ticket.find(ticket);
      if (it == by_ticket.end()) continue;  // already answered
      const MessageId id = it->second;
      node->withdraw(id);
      answered(id, {0, Final::withdrawn, 0, 0, ""});
    }
  }
  void process_command(Command command) {
    switch (command.kind) {
      case Command::Kind::call:
        // At the end of the turn, never between the commands of one batch: a drain would refuse the
        // submissions behind it in the batch, although they were made before it.
        return loop.defer(std::move(command.call));
      case Command::Kind::withdraw:
        withdrawals.push_back(command.ticket);
        return;
      case Command::Kind::submit:
        break;
    }
    const auto reject = [&](Final final, std::string why) {
      deliver({command.ticket, final, 0, 0, std::move(why)}, std::move(command.callback));
    };
    const auto destination = node->destination(command.destination);
    if (!destination) return reject(Final::rejected, "no destination is named '" + command.destination + "'");
    command.message.destination = *destination;
    if (settings.journal) command.message.owner = owner_of(command.ticket);
    Pending p{command.ticket, std::move(command.callback), loop.now(), *destination,
              command.message.message_class};
    MessageId id = 0;
    const auto entry = node->accept(std::move(command.message), *this, [&](MessageId new_id) {
      id = new_id;
      pending[id] = std::move(p);
      by_ticket[command.ticket] = id;
    });
    if (entry.status == relay::Core::AcceptStatus::unsupported)
      return answered(id, {0, Final::rejected, 0, 0, entry.reason});
    // Never sent, so it is harmless to try again. The engine is stopping, or clients of the servers have
    // filled the buffer.
    if (entry.status != relay::Core::AcceptStatus::accepted)
      answered(id, {0, Final::refused, 0, 0, entry.reason});
  }

  // Runs the function on the loop thread and waits until it has returned. With Threading::host it runs at
  // once.
  void run_on_loop(std::function<void()> f) {
    if (options.threading == Options::Threading::host) return f();
    const auto done = std::make_shared<std::promise<void>>();
    auto result = done->get_future();
    Command command;
    command.kind = Command::Kind::call;
    command.call = [f = std::move(f), done] { f(), done->set_value(); };
    commands.enqueue(std::move(command));
    wake();
    while (result.wait_for(std::chrono::milliseconds(20)) != std::future_status::ready)
      if (state.load() == State::stopped) return;  // the loop no longer runs
  }
  // Runs the function on the loop thread, without waiting.
  void post_to_loop(std::function<void()> f) {
    Command command;
    command.kind = Command::Kind::call;
    command.call = std::move(f);
    commands.enqueue(std::move(command));
    wake();
  }

  // Leaves message and callback untouched if the result is would_block, so that the caller can try again.
  Submission submit(Message& m, Callback& callback) {
    if (forked()) return {Submitted::closed, 0, "this is a forked child of the engine's process"};
    // Counted before the state is read: the loop thread changes the state first and then waits until no
    // submission is in progress.
    submitting++;
    Submission result = submit_counted(m, callback);
    submitting--;
    if (result.status == Submitted::taken) wake();
    return result;
  }
  Submission submit_counted(Message& m, Callback& callback) {
    if (!engine::accepts_submissions(state.load()))
      return {Submitted::closed, 0, "the engine takes nothing more"};
    if (held.fetch_add(1) >= options.held_max) {
      held--;
      return {Submitted::would_block, 0, "as many messages are held as may be"};
    }
    relay::Request r;
    r.destination = std::move(m.destination), r.message_class = std::move(m.message_class),
    r.tenant = std::move(m.tenant);
    r.ttl = m.time_to_live > 0 ? m.time_to_live : std::numeric_limits<Time>::max() / 4;
    r.idempotency_key = std::move(m.idempotency_key), r.has_topic = !m.topic.empty(),
    r.topic = std::move(m.topic);
    r.content_type = std::move(m.content_type), r.content_encoding = std::move(m.content_encoding);
    r.urgency = std::move(m.urgency);
    r.recipient = std::move(m.recipient), r.sender = std::move(m.sender);
    Command command;
    auto rejection = intake.check(r, command.message);
    if (!rejection) rejection = intake.check_body(m.body.size());
    if (rejection) {
      release();
      return {Submitted::rejected, 0, rejection->detail};
    }
    command.destination = std::move(r.destination), command.message.body = std::move(m.body),
    command.callback = std::move(callback);
    const Ticket ticket = command.ticket = next_ticket++;
    submitted++;
    commands.enqueue(std::move(command));
    return {Submitted::taken, ticket, ""};
  }

  void run_once(Time most_wait) {
    if (closed) return;
    const auto keep = shared_from_this();  // a callback may destroy the engine
    loop.run_once(most_wait);
    std::optional<CallbackAnswer> done;
    while (callbacks.try_dequeue(done) && done) {
      callbacks_running++;
      run_callback(*done);
      callbacks_running--, callbacks_finished++;
    }
    if (closed) node.reset();
  }

  // Stops the engine and waits for the threads, unless this is the answer thread. In a forked child there are
  // no threads to wait for.
  void shut_down() {
    if (forked()) return;
    if (options.threading == Options::Threading::host) {
      apply(engine::Input::stop);
      for (int i = 0; i < 5'000 && !closed; i++) run_once(2'000);
      return;
    }
    post_to_loop([this] { apply(engine::Input::stop); });
    const bool in_callback = std::this_thread::get_id() == answer_thread.get_id();
    for (auto* t : {&loop_thread, &answer_thread}) {
      if (!t->joinable()) continue;
      if (in_callback)
        t->detach();
      else
        t->join();
    }
  }
};

Engine::Engine(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Engine::~Engine() {
  impl_->shut_down();
  // In a forked child nothing that came from the parent is used or freed: locks may be held by threads that
  // do not exist here.
  if (impl_->forked()) new std::shared_ptr<Impl>(std::move(impl_));
}

std::unique_ptr<Engine> EngineAccess::open(config::RelaySettings settings, Options options,
                                           node::Node::DeciderFactory decider) {
  auto impl = std::make_shared<Engine::Impl>(std::move(settings), std::move(options), std::move(decider));
  impl->start();
  return std::unique_ptr<Engine>(new Engine(std::move(impl)));
}

std::unique_ptr<Engine> Engine::open(const std::string& file, Options options) {
  return EngineAccess::open(config::load_relay_settings(file), std::move(options), relay::make_dispatcher);
}
std::unique_ptr<Engine> Engine::open_text(const std::string& name, const std::string& text, Options options) {
  return EngineAccess::open(config::parse_relay_settings(name, text), std::move(options),
                            relay::make_dispatcher);
}

Submission Engine::submit(Message message, Callback callback) { return impl_->submit(message, callback); }

Submission Engine::submit_for(Message message, Time wait, Callback callback) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::microseconds(wait);
  for (;;) {
    auto result = impl_->submit(message, callback);
    if (result.status != Submitted::would_block || std::chrono::steady_clock::now() >= until) return result;
    std::unique_lock lock(impl_->mutex);
    impl_->waiting_submitters++;
    // Wakes after 5 ms at the latest, since capacity may have become free between the attempt and the lock.
    impl_->changed.wait_until(
        lock, std::min(until, std::chrono::steady_clock::now() + std::chrono::milliseconds(5)));
    impl_->waiting_submitters--;
  }
}

std::future<Answer> Engine::submit_future(Message message) {
  const auto promise = std::make_shared<std::promise<Answer>>();
  auto future = promise->get_future();
  Callback callback = [promise](const Answer& a) { promise->set_value(a); };
  const auto s = impl_->submit(message, callback);
  if (s.status != Submitted::taken) promise->set_value({0, Final::rejected, 0, 0, s.error});
  return future;
}

void Engine::withdraw(Ticket ticket) {
  if (impl_->forked()) return;
  Command command;
  command.kind = Command::Kind::withdraw, command.ticket = ticket;
  impl_->commands.enqueue(std::move(command));
  impl_->wake();
}

std::size_t Engine::poll(std::vector<Answer>& answers, std::size_t most) {
  if (impl_->forked()) return 0;
  // The descriptor is reset before the queue is read, so that an answer added after this signals it again.
  char bytes[16];
  while (read(impl_->ready_read.get(), bytes, sizeof bytes) > 0) {
  }
  impl_->ready_signalled = false;
  std::size_t n = 0;
  for (QueuedAnswer c; n < most && impl_->completions.try_dequeue(c); n++) {
    answers.push_back(std::move(c.answer));
    impl_->unread--;
    impl_->release();
    impl_->answer_delivered(c.journaled);
  }
  if (impl_->unread.load() > 0) impl_->signal_ready();
  return n;
}

int Engine::descriptor() const { return impl_->ready_read.get(); }
State Engine::state() const { return impl_->state.load(); }
std::string Engine::address() const { return impl_->bound_address; }
std::string Engine::smpp_address() const { return impl_->bound_smpp_address; }

Snapshot Engine::snapshot(std::size_t oldest) {
  Impl& i = *impl_;
  Snapshot s;
  s.state = i.state.load(), s.unread = i.unread.load();
  const std::size_t held = i.held.load();
  s.held = held - std::min(held, s.unread);
  s.submitted = i.submitted.load(), s.callback_errors = i.callback_errors.load();
  s.served = i.final_counts[0].load(), s.refused = i.final_counts[1].load(),
  s.failed = i.final_counts[2].load();
  s.withdrawn = i.final_counts[3].load(), s.rejected = i.final_counts[4].load();
  if (oldest == 0 || i.forked() || s.state == State::stopped) return s;
  const auto list = std::make_shared<std::vector<Held>>();
  const auto clients = std::make_shared<std::size_t>(0);
  i.run_on_loop([&i, list, clients, oldest] {
    *clients = i.node->core().held() - std::min(i.node->core().held(), i.pending.size());
    for (const auto& [ticket, id] : i.by_ticket) {
      if (list->size() >= oldest) break;
      const auto& p = i.pending.at(id);
      list->push_back({ticket, i.node->name_of(p.destination),
                       i.settings.names.classes[static_cast<std::size_t>(p.message_class)],
                       i.loop.now() - p.since});
    }
  });
  s.oldest = *list, s.held_for_clients = *clients;
  return s;
}

void Engine::drain(Time within) {
  if (impl_->forked()) return;
  impl_->post_to_loop([i = impl_.get(), within] {
    const auto s = engine::step(i->state.load(), engine::Input::drain);
    i->apply(engine::Input::drain);
    if (s.arm_deadline) i->arm_drain_deadline(within);
    if (i->state.load() == State::draining) i->check_drained();
  });
}

void Engine::stop() {
  if (!impl_->forked()) impl_->post_to_loop([i = impl_.get()] { i->apply(engine::Input::stop); });
}

bool Engine::wait(Time within) {
  if (impl_->options.threading == Options::Threading::host) {
    const Time until = loop::monotonic_now() + within;
    while (state() != State::stopped && loop::monotonic_now() < until)
      impl_->run_once(std::min<Time>(5'000, until - loop::monotonic_now()));
    return state() == State::stopped;
  }
  std::unique_lock lock(impl_->mutex);
  return impl_->changed.wait_for(lock, std::chrono::microseconds(within),
                                 [this] { return impl_->state.load() == State::stopped; });
}

std::vector<std::string> Engine::reload(const std::string& file) {
  config::RelaySettings next;
  try {
    next = config::load_relay_settings(file);
  } catch (const config::ConfigError& e) {
    return e.errors();
  }
  const auto refused = std::make_shared<std::vector<std::string>>();
  impl_->run_on_loop([i = impl_.get(), refused, next] {
    *refused = engine::reload_refusals(i->settings, next);
    if (!refused->empty() || i->state.load() == State::stopped) return;
    i->node->apply(next);
  });
  return *refused;
}

void Engine::run_once(Time most_wait) { impl_->run_once(most_wait); }

}  // namespace cedarplank::delivery
