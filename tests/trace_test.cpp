// Message traces: which are kept within which limits, how they are written and read, and that they agree with
// what passed on the sockets.
#include <random>

#include "service.hpp"
#include "trace/json.hpp"
#include "trace/report.hpp"

namespace cedarplank::testing {
namespace {

using trace::MessageTrace;
using trace::Recorder;
using trace::Step;
using trace::Verdict;
using What = Step::What;

trace::MessageInfo head(const std::string& cls = "status", const std::string& destination = "d") {
  trace::MessageInfo h;
  h.message_class = cls, h.destination = destination, h.connection = 1, h.stream = 1;
  h.aim = 1'000 * kS, h.deadline = 2'000 * kS;
  return h;
}
Step step(Time at, What what, int attempt = -1) {
  Step s;
  s.at = at, s.what = what, s.attempt = attempt;
  return s;
}
// Collects the traces that a recorder keeps.
struct KeptTraces {
  std::vector<MessageTrace> all;
  Recorder::Sink sink() {
    return [this](MessageTrace&& s) { all.push_back(std::move(s)); };
  }
  std::size_t of(Verdict v, const std::string& cls = "status") const {
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const MessageTrace& s) {
      return s.verdict == v && s.message_class == cls;
    }));
  }
};
// Records a message from its acceptance to its end.
void record_message(Recorder& r, Time at, trace::MessageId id, Verdict v, trace::MessageInfo h = head()) {
  r.begin(at, id, std::move(h));
  r.record_step(id, step(at, What::send, 0));
  r.record_end(id, v, step(at, What::answered));
  r.close(at, id);
}

TEST(Recorder, KeepsAllTroubleAndASampleThatStandsForTheRest) {
  KeptTraces kept;
  Recorder r({.sample = 50, .max_traces_per_second = 1e9}, 7, kept.sink());
  for (trace::MessageId id = 1; id <= 100'000; id++)
    record_message(r, static_cast<Time>(id) * 100, id, id % 1'000 == 0 ? Verdict::failed : Verdict::served);
  EXPECT_EQ(kept.of(Verdict::failed), 100u);
  EXPECT_NEAR(static_cast<double>(kept.of(Verdict::served)), 99'900 / 50.0, 200);
  std::uint64_t represented = 0;
  for (const auto& s : kept.all) represented += s.stands_for;
  EXPECT_GT(represented, 99'000u);  // all but those since the last one kept
  EXPECT_LE(represented, 100'000u);
  EXPECT_EQ(r.open_traces(), 0u);
  EXPECT_EQ(r.bytes(), 0u);
}

TEST(Recorder, ALateServeARetryAndAWatchedDestinationAreWorthKeeping) {
  KeptTraces kept;
  Recorder r({.sample = 0, .max_traces_per_second = 1e9, .watch = {"w"}}, 7, kept.sink());
  record_message(r, 0, 1, Verdict::served);
  record_message(r, 0, 2, Verdict::served, head("status", "w"));
  r.begin(0, 3, head());
  r.record_end(3, Verdict::served, step(1'001 * kS, What::answered));
  r.close(0, 3);
  r.begin(0, 4, head());
  r.record_step(4, step(1, What::send, 0)), r.record_step(4, step(2, What::ended, 0)),
      r.record_step(4, step(3, What::send, 1));
  r.record_end(4, Verdict::served, step(5, What::answered));
  r.record_step(4, step(9, What::ended, 1));  // reported only after the answer
  r.close(9, 4);
  r.record_rejection(9, 5, head(), "full");
  ASSERT_EQ(kept.all.size(), 4u);
  EXPECT_TRUE(kept.all[0].watched);
  EXPECT_EQ(kept.all[1].verdict, Verdict::late);
  EXPECT_EQ(kept.all[2].verdict, Verdict::retried);
  EXPECT_EQ(kept.all[2].steps.back().at, 9);
  EXPECT_EQ(kept.all[3].verdict, Verdict::turned_away);
}

// Guards against memory that grows with the number of held messages: an outage holds 100,000 of them, then
// all fail.
TEST(Recorder, StaysWithinItsMemoryAndGivesUpThePlainOnesFirst) {
  KeptTraces kept;
  const std::size_t most = 1 << 20;
  Recorder r({.max_open_bytes = most, .max_steps_per_trace = 16, .sample = 0, .max_traces_per_second = 1e9},
             7, kept.sink());
  for (trace::MessageId id = 1; id <= 1'000; id++) {
    r.begin(0, id, head());
    if (id > 500) r.record_step(id, step(1, What::send, 1));  // a retry: not a trouble-free trace
  }
  for (trace::MessageId id = 1'001; id <= 100'000; id++) r.begin(2, id, head());
  for (int i = 0; i < 20; i++)
    for (trace::MessageId id = 501; id <= 1'000; id++) {
      r.record_step(id, step(3, What::ended, 1));
      ASSERT_LE(r.bytes(), most);
    }
  EXPECT_GT(r.counts().discarded_for_memory, 90'000u);
  for (trace::MessageId id = 1; id <= 100'000; id++)
    r.record_end(id, Verdict::failed, step(4, What::answered)), r.close(4, id);
  std::size_t troubled = 0;
  for (const auto& s : kept.all) troubled += s.id > 500 && s.id <= 1'000;
  EXPECT_EQ(troubled, 500u);  // steps may have been left out, but no trace was lost
  EXPECT_EQ(r.bytes(), 0u);
  EXPECT_EQ(r.open_traces(), 0u);
}

// Guards against a flood of one kind of trouble that hides another kind: every trace of the rare kind is
// kept.
TEST(Recorder, AFloodOfOneKindLeavesRoomForAnother) {
  KeptTraces kept;
  Recorder r({.max_traces_per_second = 20}, 7, kept.sink());
  trace::MessageId id = 1;
  for (int second = 0; second < 60; second++) {
    for (int i = 0; i < 5'000; i++) record_message(r, second * kS + i * 100, id++, Verdict::refused);
    record_message(r, second * kS + 999 * kMs, id++, Verdict::failed, head("pay"));
  }
  EXPECT_EQ(kept.of(Verdict::failed, "pay"), 60u);
  EXPECT_GE(kept.of(Verdict::refused), 60u * 10);
  EXPECT_LE(kept.all.size(), 60u * 20 + 40);
  EXPECT_GT(r.counts().over_rate_limit, 290'000u);
}

TEST(Recorder, ALongStoryKeepsItsBeginningAndItsEnd) {
  KeptTraces kept;
  Recorder r({.max_steps_per_trace = 10, .max_traces_per_second = 1e9}, 7, kept.sink());
  r.begin(0, 1, head());
  for (int i = 0; i < 1'000; i++) r.record_step(1, step(i + 1, What::send, i));
  r.record_end(1, Verdict::failed, step(2'000, What::answered));
  r.close(2'000, 1);
  const MessageTrace& s = kept.all.at(0);
  ASSERT_EQ(s.steps.size(), 10u);
  EXPECT_EQ(s.elided, 1'002u - 10u);
  EXPECT_EQ(s.steps[1].attempt, 0);
  EXPECT_EQ(s.steps[8].attempt, 999);
  EXPECT_EQ(s.steps[9].what, What::answered);
}

TEST(Story, TheTimesPartsAddUpWhateverTheSteps) {
  std::mt19937 random(3);
  for (int n = 0; n < 500; n++) {
    MessageTrace s;
    s.accepted_at = 100;
    Time at = 100;
    for (int i = 0; i < 12; i++) {
      at += random() % 50;
      const What what[] = {What::send, What::carried, What::ended};
      s.steps.push_back(step(at, what[random() % 3], static_cast<int>(random() % 3)));
    }
    s.ended_at = 100 + random() % 600;
    const auto p = trace::time_breakdown(s);
    EXPECT_EQ(p.held + p.connection + p.endpoint, s.ended_at - s.accepted_at);
    EXPECT_GE(std::min({p.held, p.connection, p.endpoint}), 0);
  }
  MessageTrace s;
  s.steps = {step(0, What::taken), step(10, What::send, 0), step(14, What::carried, 0),
             step(44, What::ended, 0)};
  s.ended_at = 45;
  const auto p = trace::time_breakdown(s);
  EXPECT_EQ(p.held, 11);
  EXPECT_EQ(p.connection, 4);
  EXPECT_EQ(p.endpoint, 30);
}

TEST(Story, ComesBackFromItsLineAsItWas) {
  MessageTrace s;
  s.message = "relay-0-7", s.key = "k \"quoted\" \xc3\xa9", s.destination = "d", s.message_class = "pay";
  s.verdict = Verdict::turned_away, s.wall = 1'700'000'000'123'456, s.accepted_at = s.wall;
  s.ended_at = s.accepted_at + 99, s.aim = s.accepted_at + 50, s.deadline = s.accepted_at + 70,
  s.stands_for = 12, s.elided = 3;
  Step a = step(s.accepted_at + 1, What::send, 0);
  a.round = 5, a.span = 12, a.endpoint = "e", a.literal_reason = "first try";
  s.steps = {step(s.accepted_at, What::taken), a};
  const std::string line = trace::to_json(s);
  const MessageTrace back = trace::from_json(line);
  EXPECT_EQ(trace::to_json(back), line);
  EXPECT_EQ(back.key, s.key);
  EXPECT_EQ(back.verdict, s.verdict);
  EXPECT_EQ(back.steps[1].reason(), "first try");
  EXPECT_EQ(back.deadline - back.accepted_at, 70);
}

TEST(Story, LinesThatAreNoneNameTheirFault) {
  const std::pair<std::string, std::string> wrong[] = {
      {"{", "this is no JSON"},
      {"[]", "a story is no object"},
      {R"({"verdict":"lost","steps":[]})", "'lost' is not known"},
      {R"({"verdict":"served"})", "'steps' is no list"},
      {R"({"verdict":"served","wall":-1,"steps":[]})", "'wall' is not a whole number"},
      {R"({"verdict":"served","steps":[{"what":"sent"}]})", "'sent' is not known"},
      {R"({"verdict":"served","wall":9223372036854775807,"steps":[]})", "'wall' is not a whole number"},
      {R"({"verdict":"served","steps":[7]})", "a step is no object"},
      {std::string(1'000'000, '['), "this is no JSON"},
  };
  for (const auto& [line, why] : wrong) {
    try {
      trace::from_json(line);
      ADD_FAILURE() << line.substr(0, 60);
    } catch (const std::runtime_error& e) {
      EXPECT_NE(std::string(e.what()).find(why), std::string::npos) << e.what();
    }
  }
}

std::vector<MessageTrace> stories_in(const std::string& file) {
  std::vector<MessageTrace> all;
  trace::read_traces({file}, [&](MessageTrace&& s) { all.push_back(std::move(s)); });
  return all;
}

// Compares the trace of a message that is refused once and then served with what the stand-in endpoints
// received.
TEST(Trace, TellsWhatPassedAtTheSockets) {
  Service s;
  s.add("c", 2);
  s.settings.trace_file = s.folder + "/stories", s.settings.trace_sample = 1;
  s.start();
  Client c(s.loop, s.node->address());
  const auto first = c.push("/push/c/status", "id=w;");
  run_until(s.loop, [&] { return c.answers.count(first) > 0; });
  standin::FaultSettings f;
  f.fault = standin::Fault::refused_stream;
  for (const char* e : {"c-1", "c-2"}) s.endpoint(e).begin(f);
  const auto id =
      c.push("/push/c/gate", "id=a;", {{"ttl", "5"}, {"idempotency-key", "my-key"}, {"topic", "t"}});
  run_until(s.loop, [&] { return s.calls() >= 2; });
  for (const char* e : {"c-1", "c-2"}) s.endpoint(e).end(f.fault);
  run_until(s.loop, [&] { return c.answers.count(id) > 0; });
  s.node.reset();  // writes all traces to the file
  const auto all = stories_in(s.settings.trace_file);
  ASSERT_EQ(all.size(), 2u);
  const MessageTrace& message_trace = all[1];
  EXPECT_TRUE(trace::matches_name(message_trace, "my-key"));
  EXPECT_TRUE(trace::matches_name(message_trace, "relay-0-2"));
  EXPECT_EQ(message_trace.verdict, Verdict::retried);
  EXPECT_EQ(message_trace.steps.front().stream, id);
  std::vector<std::pair<std::string, std::uint32_t>> traced, seen;
  std::string endpoint;
  int sends = 0;
  for (const auto& x : message_trace.steps) {
    if (x.what == What::carried) traced.emplace_back(endpoint, x.stream);
    if (x.what != What::send) continue;
    endpoint = x.endpoint, sends++;
    EXPECT_GT(x.round, 0u);
    EXPECT_FALSE(x.reason().empty());
  }
  for (const auto& r : s.frames)
    if (r.what == "HEADERS" && !r.sent && r.fields.count("topic") > 0) seen.emplace_back(r.place, r.stream);
  EXPECT_EQ(traced, seen);
  EXPECT_GE(sends, 2);
  EXPECT_EQ(message_trace.steps.back().what, What::answered);
  const auto text = trace::format_trace(message_trace);
  EXPECT_NE(text.find("attempt 2 to c-"), std::string::npos) << text;
  EXPECT_NE(text.find("REFUSED_STREAM"), std::string::npos) << text;
}

// The trace of a message that was given up names the dispatcher's reason; that of a message rejected at
// admission names the rejection.
TEST(Trace, ReasonsOfTheLastDecisionAreTold) {
  Service s;
  s.add("c", 1);
  s.settings.trace_file = s.folder + "/stories";
  s.settings.dispatcher.open_max = 40;
  s.start();
  s.endpoint("c-1").begin({.fault = standin::Fault::drop_after_take});
  Client c(s.loop, s.node->address());
  const auto id = c.push("/push/c/pay", "id=p;");
  run_until(s.loop, [&] { return c.answers.count(id) > 0; });
  s.endpoint("c-1").end(standin::Fault::drop_after_take);
  s.endpoint("c-1").begin({.fault = standin::Fault::silent});
  for (int i = 0; i < 60; i++) c.push("/push/c/status", "id=f;");
  run_until(s.loop, [&] { return c.answers.size() >= 20; });
  c.stream->close(false);
  run_until(s.loop, [&] { return s.node->core().held() == 0; });
  s.node.reset();
  std::map<Verdict, std::string> last;
  for (const auto& message_trace : stories_in(s.settings.trace_file))
    for (const auto& x : message_trace.steps)
      if (x.what == What::fail || x.what == What::answered || x.what == What::withdrawn)
        if (x.what != What::answered || message_trace.verdict == Verdict::turned_away)
          last[message_trace.verdict] = x.reason();
  EXPECT_NE(last[Verdict::failed].find("may have run"), std::string::npos) << last[Verdict::failed];
  EXPECT_NE(last[Verdict::turned_away].find("all it may"), std::string::npos) << last[Verdict::turned_away];
  EXPECT_EQ(last.count(Verdict::withdrawn), 1u);
}

TEST(Trace, AFileThatCantBeWrittenIsSaidAtTheStartAndADamagedOneWhenItIsRead) {
  Service s;
  s.settings.trace_file = s.folder;  // a directory can't be opened as a file
  EXPECT_THROW(s.start(), std::runtime_error);
  MessageTrace good;
  good.message = "m";
  const std::string line = trace::to_json(good);
  const std::string file = s.folder + "/stories";
  std::ofstream(file) << line << "\n" << line.substr(0, 20);  // as a killed relay leaves the file
  const auto read = trace::read_traces({file}, [](MessageTrace&&) {});
  EXPECT_EQ(read.traces, 1u);
  EXPECT_EQ(read.incomplete_lines, 1u);
  std::ofstream(file) << line << "\n" << line.substr(0, 20) << "\n" << line << "\n";
  try {
    trace::read_traces({file}, [](MessageTrace&&) {});
    ADD_FAILURE();
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find("stories:2: this is no JSON"), std::string::npos) << e.what();
  }
}

}  // namespace
}  // namespace cedarplank::testing
