// cedarplank::delivery: the delivery engine as a library for a host process. The command `cedarplank relay`
// is a thin wrapper around it.
//
// Ownership: the Engine owns everything it creates; messages are moved in, answers are copied out.
// Destroying it stops it.
// Threads: every function except run_once() may be called from any thread at any time.
// Side effects: installs no signal handlers, keeps no global state and writes nothing to the standard
// streams; several engines in one process share nothing.
// Errors: open() and open_text() throw; nothing else does. Exceptions from callbacks are caught, counted
// and logged.
// Units: times in microseconds, sizes in bytes.
#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace cedarplank::delivery {

using Time = std::int64_t;
// Identifies a submitted message; never reused by an engine or its journal; 0: none.
using Ticket = std::uint64_t;

struct Message {
  std::string destination, message_class;
  std::string tenant;           // empty: none
  Time time_to_live = 0;        // shortens the class's deadline; 0 or less: no change
  std::string idempotency_key;  // required for keyed classes
  std::string topic;            // order key where the class is ordered; up to 32 characters of base64url
  std::string content_type, content_encoding, urgency, body;
  std::string recipient, sender;  // phone numbers such as "+255700100200"; required by some kinds
};

enum class Final {
  served,     // delivered
  refused,    // not delivered; submitting it again is harmless
  failed,     // given up; it may or may not have taken effect
  withdrawn,  // cancelled by withdraw() before it was answered
  rejected    // never accepted: unknown destination, or malformed; see Answer::detail
};

struct Answer {
  Ticket ticket = 0;
  Final final = Final::failed;
  Time come_back = 0;  // refused: how long to wait before submitting it again; 0: no advice
  int attempts = 0;    // not set for served messages
  std::string detail;  // how the last attempt ended, or why it was rejected
};

// Called exactly once for each ticket, on the engine's answer thread (or in run_once()). A callback may
// submit, withdraw, stop and destroy the engine. If it blocks, later answers are delayed, but not deliveries.
using Callback = std::function<void(const Answer&)>;

enum class Submitted {
  taken,        // accepted: `ticket` will be answered
  would_block,  // the maximum number of messages is held; try again later
  rejected,     // malformed; `error` has the reason
  closed        // the engine is draining or stopped, or this is a forked child process
};
struct Submission {
  Submitted status = Submitted::closed;
  Ticket ticket = 0;
  std::string error;
};

enum class State { opening, running, draining, stopping, stopped };

// A message that was submitted and not yet answered.
struct Held {
  Ticket ticket = 0;
  std::string destination, message_class;
  Time age = 0;
};
struct Snapshot {
  State state = State::opening;
  std::size_t held = 0;              // messages submitted and not yet answered
  std::size_t held_for_clients = 0;  // messages held for HTTP/2 clients, where the engine listens for them
  std::size_t unread = 0;            // answers in the completion queue that were not polled yet
  std::uint64_t submitted = 0, served = 0, refused = 0, failed = 0, withdrawn = 0, rejected = 0,
                callback_errors = 0;
  std::vector<Held> oldest;  // at most as many as requested
};

struct Options {
  enum class Threading { own, host };
  Threading threading = Threading::own;  // host: all work is done in run_once()
  std::size_t held_max = 0;              // limit on held and unread together; 0: open_max of the settings
  bool serve = false;                    // also listen for clients, as configured in the settings
  std::function<void(const char* event, const std::string& text)>
      log;  // called on the engine's thread; may be empty
  // If the settings have a journal: receives the answers to tickets of earlier runs which had neither
  // returned from a callback nor been taken by poll() when that run ended. An answer that was being passed on
  // at that moment is repeated. Empty: these answers go to the completion queue.
  Callback recovered = {};
};

class Engine {
 public:
  // Throws std::runtime_error that names file, line and key, or std::system_error.
  static std::unique_ptr<Engine> open(const std::string& settings_file, Options options = {});
  // The same with settings given as YAML text; relative file names are resolved against the directory of
  // `name`.
  static std::unique_ptr<Engine> open_text(const std::string& name, const std::string& settings,
                                           Options options = {});

  // Stops, and waits until every held message is answered. When called from a callback, it doesn't wait.
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Never blocks. Without a callback the answer goes to the completion queue.
  Submission submit(Message message, Callback callback = {});
  // The same, but waits for at most `wait` while the maximum number of messages is held.
  Submission submit_for(Message message, Time wait, Callback callback = {});
  // If the message is not accepted, the future is ready at once with Final::rejected.
  std::future<Answer> submit_future(Message message);

  // Requests that the message not be sent any more. It is still answered once: as withdrawn, unless another
  // answer came first.
  void withdraw(Ticket ticket);

  // Appends at most `most` answers from the completion queue and returns their number.
  std::size_t poll(std::vector<Answer>& answers, std::size_t most = 1024);
  // File descriptor that is readable while the completion queue may hold answers. The engine owns it: don't
  // read or close it.
  int descriptor() const;

  Snapshot snapshot(std::size_t oldest = 0);
  State state() const;
  std::string address() const;       // listening address; empty if the engine does not listen
  std::string smpp_address() const;  // the same for SMPP clients

  // Accepts no more messages. Held messages are processed until `within` has passed, then ended as by stop().
  void drain(Time within);
  // Ends every held message now: as refused if submitting it again is harmless, otherwise as failed.
  void stop();
  // Waits until the engine has stopped, for at most `within`, and returns whether it has. Not to be called
  // from a callback.
  bool wait(Time within);

  // Applies changed settings while the engine runs. If settings changed that can't change at run time,
  // applies nothing and returns them, one line each.
  std::vector<std::string> reload(const std::string& settings_file);

  // Threading::host: does the work that is due, waiting for at most `most_wait` for more (0: doesn't wait).
  void run_once(Time most_wait);

 private:
  friend struct EngineAccess;
  struct Impl;
  explicit Engine(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace cedarplank::delivery
