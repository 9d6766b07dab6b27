#include "codec.hpp"

#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <optional>

#include "settings/simulator.hpp"

namespace cedarplank::adapter {
namespace {

using namespace settings;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

Outcome read_outcome(const Value& v, const std::string& path) {
  switch (as_integer(v, path)) {
    case 10:
      return Outcome::served;
    case 20:
      return Outcome::error;
    case 30:
      return Outcome::full;
    case 40:
      return Outcome::timeout;
    case 50:
      return Outcome::connect_failed;
    case 60:
      return Outcome::reset;
    case 70:
      return Outcome::cancelled;
    case 80:
      return Outcome::not_sent;
    default:
      malformed(path, "unknown outcome");
  }
}

Report read_report(const Value& event, const std::string& path) {
  Report r;
  const Value* v = find(event, "HealthInfo");
  if (v == nullptr) return r;
  const std::string where = path + ".HealthInfo";
  as_object(*v, where);
  r.limit_left = get(*v, "x0", where, as_number, -1.0);
  r.limit_rate = get(*v, "x1", where, as_number, -1.0);
  return r;
}

// Writes one line of the wire per action.
class ActionWriter {
 public:
  ActionWriter(std::string& reply, const std::string& who) : reply_(reply), who_(who) {}

  void operator()(const action::Send& a) {
    line("PLACE", [&](Writer& w) {
      id(w, a.id), text(w, "Endpoint", a.endpoint), number(w, "GiveUpAfter", a.timeout);
    });
  }
  void operator()(const action::Refuse& a) {
    line("BUSY", [&](Writer& w) { id(w, a.id), number(w, "ComeBack", a.come_back); });
  }
  void operator()(const action::Fail& a) {
    line("END_FAILED", [&](Writer& w) { id(w, a.id); });
  }
  void operator()(const action::Cancel& a) {
    line("ABANDON", [&](Writer& w) { id(w, a.id), number(w, "SendNo", a.attempt); });
  }
  void operator()(const action::CloseIdle& a) {
    line("CLOSE", [&](Writer& w) { text(w, "Endpoint", a.endpoint); });
  }
  void operator()(const action::SetTimer& a) {
    line("SLEEP", [&](Writer& w) { number(w, "After", a.after), w.Key("Tag"), w.Uint64(a.token); });
  }
  void operator()(const action::FetchList&) {
    line("QUERY_ALL", [](Writer&) {});
  }
  void operator()(const action::Subscribe& a) {
    line("FOLLOW", [&](Writer& w) { w.Key("Active"), w.Bool(a.on); });
  }
  void operator()(const action::Probe& a) {
    line("SOUND_OUT", [&](Writer& w) { text(w, "Endpoint", a.endpoint); });
  }
  void operator()(const action::TellPeer& a) {
    line("BROADCAST_TO", [&](Writer& w) { number(w, "Whom", a.whom), text(w, "Body", a.body); });
  }
  void operator()(const action::Seen&) {}  // only for relays with a journal; has no line on the wire
  void operator()(const action::Log& a) {
    line("PRINT", [&](Writer& w) { text(w, "Msg", a.text); });
  }
  // Reports that the instance can't go on.
  void fatal(const std::string& what) {
    line("FATAL", [&](Writer& w) { text(w, "Msg", what); });
  }

 private:
  template <class Fields>
  void line(const char* kind, Fields fields) {
    rapidjson::StringBuffer buffer;
    Writer w(buffer);
    w.StartObject();
    w.Key("kind"), w.String(kind);
    text(w, "Who", who_);
    fields(w);
    w.EndObject();
    reply_.append(buffer.GetString(), buffer.GetSize()).push_back('\n');
  }
  static void id(Writer& w, MessageId id) { w.Key("Rid"), w.Uint64(id); }
  static void number(Writer& w, const char* key, std::int64_t v) { w.Key(key), w.Int64(v); }
  static void text(Writer& w, const char* key, const std::string& v) {
    w.Key(key), w.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
  }

  std::string& reply_;
  const std::string& who_;
};

}  // namespace

struct Codec::Instance {
  NameTables tables;
  std::optional<Dispatcher> dispatcher;
  std::string settings_error;  // why the dispatcher could not be created
  std::vector<Event> events;   // of the present round
};

// A listed endpoint. Zone and kind are still names here, because their positions differ between instances.
struct Codec::ListEntry {
  Endpoint endpoint;
  std::string zone, kind;
};

struct Codec::Impl {
  Time now = 0;
  bool in_round = false;  // between ROUND and YOUR_TURN
  std::map<std::string, Instance> instances;
  std::map<std::int64_t, std::vector<ListEntry>> endpoint_lists;  // by RosterId
  // Instances with an event in this batch, in the order of their first event.
  std::vector<std::string> instances_to_answer;

  // Returns the instance that a message is for and adds it to those to be answered.
  Instance& instance(const Value& v, const std::string& path) {
    const std::string who = get(v, "Who", path, as_text);
    const auto it = instances.find(who);
    if (it == instances.end()) malformed(path + ".Who", "instance '" + who + "' was never started");
    if (std::find(instances_to_answer.begin(), instances_to_answer.end(), who) == instances_to_answer.end())
      instances_to_answer.push_back(who);
    return it->second;
  }

  // Creates an instance, or replaces one of the same name. Invalid settings are reported with the answer.
  void start_instance(const Value& v, const std::string& path) {
    const std::string who = get(v, "Who", path, as_text);
    Instance fresh;
    const std::uint64_t seed = get(v, "RngSeed", path, as_natural);
    const Settings settings = read_simulator(required(v, "Setup", path), path + ".Setup", fresh.tables);
    try {
      fresh.dispatcher.emplace(settings, seed);
    } catch (const std::exception& e) {
      fresh.settings_error = e.what();
    }
    instances.insert_or_assign(who, std::move(fresh));
    instance(v, path);
  }

  // Destroys an instance; its events of this batch are dropped.
  void stop_instance(const Value& v, const std::string& path) {
    instance(v, path);
    const std::string who = get(v, "Who", path, as_text);
    instances.erase(who);
    instances_to_answer.erase(std::find(instances_to_answer.begin(), instances_to_answer.end(), who));
  }

  // Stores an endpoint list under its number, for the messages that refer to it.
  void store_endpoint_list(const Value& v, const std::string& path) {
    std::vector<ListEntry> entries;
    for (const auto& e : as_array(required(v, "Elements", path), path + ".Elements").GetArray()) {
      const std::string where = path + ".Elements";
      as_object(e, where);
      ListEntry entry;
      entry.endpoint.id = get(e, "Endpoint", where, as_text);
      entry.endpoint.destination = get(e, "Cell", where, as_integer);
      entry.endpoint.listing = enum_value<Listing>(
          get(e, "Health", where, as_text),
          {{"healthy", Listing::active}, {"cordoned", Listing::draining}, {"deregistered", Listing::gone}},
          where + ".Health");
      entry.endpoint.weight = get(e, "CapacityHint", where, as_number, 1.0);
      entry.endpoint.since = get(e, "Since", where, as_integer, 0);
      entry.zone = get(e, "Az", where, as_text, "");
      entry.kind = get(e, "Kind", where, as_text, "");
      entries.push_back(std::move(entry));
    }
    endpoint_lists[get(v, "RosterId", path, as_integer)] = std::move(entries);
  }

  // Makes an event from a stored endpoint list, or from a failed request for one.
  Event list_event(const Value& v, const std::string& path, const NameTables& tables) {
    const std::string how = get(v, "How", path, as_text);
    if (how == "X") return event::ListFailed{};
    const auto it = endpoint_lists.find(get(v, "RosterId", path, as_integer));
    if (it == endpoint_lists.end()) malformed(path + ".RosterId", "no such POOL was given");
    std::vector<Endpoint> list;
    for (const auto& entry : it->second) {
      list.push_back(entry.endpoint);
      list.back().zone = index_of(tables.zones, entry.zone);
      list.back().kind = index_of(tables.kinds, entry.kind);
    }
    if (how == "D") return event::ListChanges{std::move(list)};
    if (how == "F") return event::ListWhole{std::move(list), false};
    if (how == "C") return event::ListWhole{std::move(list), true};
    malformed(path + ".How", "unknown word '" + how + "'");
  }

  Event read_event(const std::string& kind, const Value& v, const NameTables& tables) {
    if (kind == "SYNC") return list_event(v, kind, tables);
    if (kind == "KNOCK") {
      event::Arrival e;
      e.id = get(v, "Rid", kind, as_natural);
      e.destination = get(v, "Dest", kind, as_integer);
      const std::string cls = get(v, "TierClass", kind, as_text);
      e.message_class = index_of(tables.classes, cls);
      if (e.message_class < 0) malformed(kind + ".TierClass", "unknown class '" + cls + "'");
      e.time_left = get(v, "TimeLeft", kind, as_integer);
      e.order_key = get(v, "Subject", kind, as_text, "");
      e.repeat = get(v, "Retry", kind, as_bool, false);
      const Value* tenant = find(v, "Account");
      if (tenant != nullptr && !(tenant->IsInt() && tenant->GetInt() == 0))
        e.tenant = index_of(tables.tenants, as_text(*tenant, kind + ".Account"));
      return e;
    }
    if (kind == "RETURNED") {
      event::AttemptEnded e;
      e.id = get(v, "Rid", kind, as_natural);
      e.attempt = get(v, "SendNo", kind, as_int);
      e.endpoint = get(v, "Endpoint", kind, as_text);
      e.outcome = get(v, "Result", kind, read_outcome);
      e.latency = get(v, "DelaySeen", kind, as_integer, 0);
      e.closed = get(v, "Closed", kind, as_bool, false);
      if (e.outcome == Outcome::full) e.told_wait = 1000 * get(v, "RemarkMs", kind, as_integer, 0);
      e.report = read_report(v, kind);
      return e;
    }
    if (kind == "HANGUP") return event::Withdrawn{get(v, "Rid", kind, as_natural)};
    if (kind == "REMINDER") return event::TimerDue{get(v, "Tag", kind, as_natural)};
    if (kind == "ECHO") {
      return event::ProbeEnded{get(v, "Endpoint", kind, as_text), get(v, "Result", kind, read_outcome),
                               get(v, "DelaySeen", kind, as_integer, 0), read_report(v, kind)};
    }
    if (kind == "HEARD") return event::PeerNote{get(v, "From", kind, as_int), get(v, "Body", kind, as_text)};
    malformed(kind, "unknown message kind");
  }

  // Passes the events of the batch to their instances and writes the actions of each.
  void write_reply(std::string& reply) {
    for (const auto& who : instances_to_answer) {
      Instance& i = instances.at(who);
      std::vector<Action> actions;
      ActionWriter writer(reply, who);
      try {
        if (!i.dispatcher) throw std::runtime_error(i.settings_error);
        i.dispatcher->handle(now, i.events, actions);
        for (const auto& a : actions) std::visit(writer, a);
      } catch (const std::exception& e) {
        writer.fatal(e.what());
      }
      i.events.clear();
    }
    instances_to_answer.clear();
    reply += "{\"kind\":\"OK\"}\n";
  }
};

Codec::Codec() : impl_(std::make_unique<Impl>()) {}
Codec::~Codec() = default;

bool Codec::process_line(const std::string& line, std::string& reply) {
  rapidjson::Document v;
  v.Parse(line.data(), line.size());
  if (v.HasParseError())
    throw WireError("column " + std::to_string(v.GetErrorOffset() + 1) + ": " +
                    rapidjson::GetParseError_En(v.GetParseError()));
  as_object(v, "message");
  const std::string kind = get(v, "kind", "message", as_text);
  if (kind == "ROUND") {
    if (impl_->in_round) malformed(kind, "the previous round has not ended");
    impl_->now = get(v, "Clock", kind, as_integer);
    impl_->in_round = true;
    return false;
  }
  if (!impl_->in_round) malformed(kind, "no ROUND came before this message");
  if (kind == "YOUR_TURN") {
    impl_->in_round = false;
    reply.clear();
    impl_->write_reply(reply);
    return true;
  }
  if (kind == "NEW_INSTANCE") {
    impl_->start_instance(v, kind);
  } else if (kind == "POWER_OFF") {
    impl_->stop_instance(v, kind);
  } else if (kind == "POOL") {
    impl_->store_endpoint_list(v, kind);
  } else if (kind == "ACCEPTED") {
    impl_->instance(v, kind);  // no class streams its answers; the outcome of the attempt follows
  } else {
    Instance& i = impl_->instance(v, kind);
    i.events.push_back(impl_->read_event(kind, v, i.tables));
  }
  return false;
}

}  // namespace cedarplank::adapter
